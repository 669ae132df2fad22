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
 * Commits the outcomes of once-only requests to the replicated log, retrying until it succeeds.
 *
 * <p>Recording an outcome twice is harmless. If the process stops first, the request stays in progress and is later
 * reported as unknown. Safe for use by many threads.
 */
final class OutcomeRecorder {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final ControlClient control;
    private final InstantSource wallClock;
    private final HostMetrics metrics;
    private final AtomicInteger pendingCount = new AtomicInteger();

    OutcomeRecorder(ControlClient control, InstantSource wallClock, HostMetrics metrics) {
        this.control = control;
        this.wallClock = wallClock;
        this.metrics = metrics;
    }

    /** Commits an outcome and then runs the callback. */
    void record(RecordOutcome outcome, Runnable recorded) {
        pendingCount.incrementAndGet();
        attempt(
                Command.newBuilder()
                        .setOutcome(outcome.toBuilder().setAtMillis(wallClock.millis()))
                        .build(),
                recorded);
    }

    int pendingCount() {
        return pendingCount.get();
    }

    private void attempt(Command command, Runnable recorded) {
        control.propose(command, ATTEMPT_TIMEOUT)
                .onItem()
                .transformToUni(result -> {
                    if (result instanceof ProposalResult.Applied) {
                        return Uni.createFrom().item(true);
                    }
                    return Uni.createFrom().item(false).onItem().delayIt().by(RETRY_DELAY);
                })
                .subscribe()
                .with(
                        applied -> {
                            if (applied) {
                                pendingCount.decrementAndGet();
                                recorded.run();
                            } else {
                                metrics.count("once-only.record-again");
                                attempt(command, recorded);
                            }
                        },
                        failure -> attempt(command, recorded));
    }
}
