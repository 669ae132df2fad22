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
 * Queries control whether the configuration in force on this host is the newest, for requests whose refusal depends on
 * it.
 *
 * <p>A connection between the followed control host and a leader is not enough: this host may not have received the
 * latest table yet, and a host that resumes after a suspension may serve callers before it receives the changes that it
 * missed. Owned by the event loop.
 */
final class NewestVersion implements TableStatus {
    /** Allows a round trip to control, one from there to the leader and its quorum, and a lost packet. */
    private static final Duration READ_TIMEOUT = Duration.ofMillis(600);
    /** Limits the load on control when many callers present unknown keys. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(50);
    /** Further callers are answered unconfirmed. */
    private static final int MAX_WAITING = 1_000;

    private final BooleanSupplier controlReachable;
    private final FleetView view;
    private final PeerNetwork network;
    private final Supplier<String> controlHost;
    private final EventLoop loop;
    private final SharedReads<Consumer<Boolean>> reads = new SharedReads<>(MAX_WAITING);

    /**
     * Creates a check without pending reads.
     *
     * @param controlReachable true while the followed control host is connected to a leader
     * @param controlHost returns the peer address of the control host that is followed at present
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
        // Callers that arrive during the interval wait for the next read.
        loop.schedule(this::endInterval, READ_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        reads.takeWaiters().forEach(callback -> callback.accept(newest));
    }

    private void endInterval() {
        reads.end();
        readIfDue();
    }
}
