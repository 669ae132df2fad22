package org.bramblerack.daemon.gateway;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.CallMonitor;
import org.bramblerack.daemon.leaf.ConnectionEvent;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.wire.LeafRecord;

/**
 * The connections of this host to leafs: made ahead where it asks them itself, closed where others hold them.
 *
 * <p>Owned by the event loop.
 */
final class LeafConnectionTable {
    /** The first table may name a part of a fleet that is just starting: this long until connections are made ahead. */
    private static final Duration WARM_AFTER = Duration.ofMillis(400);
    /** Hosts make connections at different moments within this time, so that no leaf gets all at once. */
    private static final Duration WARM_WITHIN = Duration.ofMillis(1_500);

    private final FleetView view;
    private final CallHeaders names;
    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<Leaf, LeafConnections> connections = new HashMap<>();
    private final LeafHarm.LogLimit harmLines;
    private boolean reviewed = true;
    private Consumer<ConnectionEvent> observer = event -> {};

    LeafConnectionTable(
            FleetView view, CallHeaders names, EventLoopGroup group, MonotonicClock clock, RandomGenerator random) {
        this.view = view;
        this.names = names;
        this.group = group;
        this.clock = clock;
        this.random = random;
        this.harmLines = new LeafHarm.LogLimit(clock);
    }

    /** Sets what is told of each connection. */
    void onEvent(Consumer<ConnectionEvent> newObserver) {
        observer = newObserver;
    }

    /** Returns the connections to a leaf. */
    LeafConnections to(Leaf leaf) {
        return connections.computeIfAbsent(
                leaf,
                unused -> new LeafConnections(
                        leaf,
                        group,
                        names,
                        clock,
                        () -> view.connectionShare(leaf),
                        event -> observer.accept(event),
                        harmWatch(leaf)));
    }

    private CallMonitor harmWatch(Leaf leaf) {
        long incarnation =
                view.leafRecord(leaf.id()).map(LeafRecord::getIncarnation).orElse(0L);
        return new LeafHarm(leaf, incarnation, view.harmFilter(), harmLines, clock);
    }

    /** Lets go of a leaf that has left; requests under way are finished first. */
    void retire(Leaf leaf) {
        LeafConnections held = connections.remove(leaf);
        if (held != null) {
            held.retire();
        }
    }

    /** Looks a little later, each host at another moment, at which connections to keep. */
    void reviewLater() {
        if (reviewed) {
            reviewed = false;
            long delayMillis = WARM_AFTER.toMillis() + random.nextLong(WARM_WITHIN.toMillis());
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
        LeafConnections held = connections.get(leaf);
        LeafAccess access = view.access();
        if (!view.configuration().services().containsKey(leaf.service())) {
            return;
        }
        if (access.keepsConnections(leaf.service(), zone)) {
            // A connection that rested and was closed is made again when it is needed; a holder is asked all the time.
            if (held == null || access.isHeld(leaf.service())) {
                to(leaf).warm();
            }
        } else if (held != null && !access.isHolderOrBackup(leaf.service(), zone)) {
            held.closeIdle();
        }
    }
}
