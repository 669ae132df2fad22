package org.bramblerack.daemon.entry;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.RecordOutcome;

/**
 * Has the outcomes of once-only requests agreed, trying again until they are.
 *
 * <p>Recording twice is harmless, so that nothing is lost but what a stopped process had not recorded; such a request
 * stays in progress and is then shown as unknown. Safe for use by many threads.
 */
final class OutcomeRecorder {
    private static final Duration TRY = Duration.ofSeconds(2);
    private static final Duration AGAIN = Duration.ofMillis(300);

    private final ControlClient control;
    private final InstantSource wallClock;
    private final HostMetrics metrics;
    private final AtomicInteger unrecorded = new AtomicInteger();

    OutcomeRecorder(ControlClient control, InstantSource wallClock, HostMetrics metrics) {
        this.control = control;
        this.wallClock = wallClock;
        this.metrics = metrics;
    }

    /** Has an outcome agreed and then runs the callback. */
    void record(RecordOutcome outcome, Runnable recorded) {
        unrecorded.incrementAndGet();
        attempt(
                Command.newBuilder()
                        .setOutcome(outcome.toBuilder().setAtMillis(wallClock.millis()))
                        .build(),
                recorded);
    }

    int unrecorded() {
        return unrecorded.get();
    }

    private void attempt(Command command, Runnable recorded) {
        control.propose(command, TRY)
                .onItem()
                .transformToUni(result -> {
                    if (result instanceof ProposalResult.Applied) {
                        return Uni.createFrom().item(true);
                    }
                    return Uni.createFrom().item(false).onItem().delayIt().by(AGAIN);
                })
                .subscribe()
                .with(
                        agreed -> {
                            if (agreed) {
                                unrecorded.decrementAndGet();
                                recorded.run();
                            } else {
                                metrics.count("once-only.record-again");
                                attempt(command, recorded);
                            }
                        },
                        failure -> attempt(command, recorded));
    }
}
