package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.SharedReads;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.VersionQuery;
import org.bramblerack.wire.VersionQueryResult;

/**
 * Asks control whether the configuration in force here is the newest, for requests whose refusal depends on it.
 *
 * <p>That the control host that is followed hears a leader is not enough: a table that was agreed on a moment ago may
 * not have come here yet, and a host that was suspended looks at its callers before it hears of what it missed. Owned
 * by the event loop.
 */
final class NewestVersion implements TableStatus {
    /** A round trip to control and one from there to the leader and its quorum, with room for a lost packet. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(600);
    /** Spares control where many callers show keys that are not known: a caller that is refused can wait as long. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(50);
    /** Callers beyond that are sent away undecided. */
    private static final int MAX_WAITING = 1_000;

    private final BooleanSupplier controlReachable;
    private final FleetView view;
    private final PeerNetwork network;
    private final Supplier<String> controlHost;
    private final EventLoop loop;
    private final SharedReads<Consumer<Boolean>> reads = new SharedReads<>(MAX_WAITING);

    /**
     * Creates what asks nothing yet.
     *
     * @param controlReachable true while the control host that is followed is in touch with a leader
     * @param controlHost tells which control host is followed at the moment
     */
    NewestVersion(
            BooleanSupplier controlReachable,
            FleetView view,
            PeerNetwork network,
            Supplier<String> controlHost,
            EventLoop loop) {
        this.controlReachable = controlReachable;
        this.view = view;
        this.network = network;
        this.controlHost = controlHost;
        this.loop = loop;
    }

    @Override
    public boolean isCurrent() {
        return controlReachable.getAsBoolean();
    }

    @Override
    public void confirmNewest(Consumer<Boolean> callback) {
        if (!isCurrent() || !reads.await(callback)) {
            callback.accept(false);
            return;
        }
        readIfDue();
    }

    private void readIfDue() {
        if (!reads.begin()) {
            return;
        }
        network.requestWhenConnected(controlHost.get(), NewestVersion::query, READ_TIMEOUT, progress -> {})
                .subscribe()
                .with(
                        reply -> loop.execute(() -> completeRead(isNewest(reply.getVersionQueryResult()))),
                        failure -> loop.execute(() -> completeRead(false)));
    }

    private static Envelope.Builder query() {
        return Envelope.newBuilder().setVersionQuery(VersionQuery.getDefaultInstance());
    }

    private boolean isNewest(VersionQueryResult result) {
        return result.getCurrent()
                && result.getVersion() <= view.configuration().version();
    }

    private void completeRead(boolean newest) {
        // Those who come until the pause is over wait for the next read.
        loop.schedule(this::endInterval, READ_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        reads.takeWaiters().forEach(taker -> taker.accept(newest));
    }

    private void endInterval() {
        reads.end();
        readIfDue();
    }
}
