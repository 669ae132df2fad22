package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.leaf.AnswerLimits;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.CallMonitor;
import org.bramblerack.daemon.leaf.ConnectionEvent;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.wire.LeafRecord;

/**
 * The connections of this host to leaves: opened ahead of use where this host calls the leaf directly, closed where
 * other hosts hold the connections.
 *
 * <p>Owned by the event loop.
 */
final class LeafConnectionTable {
    /** The tables may be incomplete while a fleet starts, so connections are opened only after this delay. */
    private static final Duration CONNECT_DELAY = Duration.ofMillis(400);
    /** The interval over which hosts spread their connects, so that a leaf does not receive all of them at once. */
    private static final Duration CONNECT_SPREAD = Duration.ofMillis(1_500);

    private final FleetView view;
    private final CallHeaders headerNames;
    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final AnswerLimits limits;
    private final Map<Leaf, LeafConnections> connections = new HashMap<>();
    private final LeafHarm.LogLimit harmLogLimit;
    private boolean reviewed = true;
    private Consumer<ConnectionEvent> observer = event -> {};

    LeafConnectionTable(
            FleetView view,
            CallHeaders headerNames,
            EventLoopGroup group,
            MonotonicClock clock,
            RandomGenerator random) {
        this.view = view;
        this.headerNames = headerNames;
        this.group = group;
        this.clock = clock;
        this.random = random;
        this.limits = new AnswerLimits(clock);
        this.harmLogLimit = new LeafHarm.LogLimit(clock);
    }

    void setObserver(Consumer<ConnectionEvent> newObserver) {
        observer = newObserver;
    }

    LeafConnections to(Leaf leaf) {
        return connections.computeIfAbsent(
                leaf,
                unused -> new LeafConnections(
                        leaf,
                        group,
                        headerNames,
                        clock,
                        limits,
                        () -> view.connectionShare(leaf),
                        event -> observer.accept(event),
                        harmMonitor(leaf)));
    }

    private CallMonitor harmMonitor(Leaf leaf) {
        long incarnation =
                view.leafRecord(leaf.id()).map(LeafRecord::getIncarnation).orElse(0L);
        return new LeafHarm(leaf, incarnation, view.harmFilter(), harmLogLimit, clock);
    }

    /** Removes a leaf that has left; its requests in progress are finished first. */
    void retire(Leaf leaf) {
        LeafConnections existing = connections.remove(leaf);
        if (existing != null) {
            existing.retire();
        }
    }

    /** Schedules a review of which connections to keep, after a delay that differs from host to host. */
    void scheduleReview() {
        if (reviewed) {
            reviewed = false;
            long delayMillis = CONNECT_DELAY.toMillis() + random.nextLong(CONNECT_SPREAD.toMillis());
            group.next().schedule(this::reviewAll, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void reviewAll() {
        reviewed = true;
        for (LeafRecord record : view.leafRecords()) {
            view.leaf(record.getId()).filter(Leaf::acceptsWork).ifPresent(leaf -> review(leaf, record.getZone()));
        }
    }

    private void review(Leaf leaf, String zone) {
        LeafConnections existing = connections.get(leaf);
        LeafAccess access = view.access();
        if (!view.configuration().services().containsKey(leaf.service())) {
            return;
        }
        if (access.keepsConnections(leaf.service(), zone)) {
            // Only holders reopen connections that were closed as idle, since they call their leaves constantly.
            if (existing == null || access.isHeld(leaf.service())) {
                to(leaf).warm();
            }
        } else if (existing != null && !access.isHolderOrBackup(leaf.service(), zone)) {
            existing.closeIdle();
        }
    }
}
