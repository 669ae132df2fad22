package org.bramblerack.cli.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bramblerack.process.leaf.LeafLoad;
import org.bramblerack.process.leaf.LeafOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The connections of one host to one leaf, each with one call at a time.
 *
 * <p>Invariant: never more than the host's share of what the leaf takes. A call that is given up loses its connection.
 * Not safe for use by several threads.
 */
final class ModelConnections {
    /** How long a connection is tried, as in the product. */
    private static final long CONNECT_TIMEOUT_NANOS = 1_500_000_000L;

    private final ModelLeaf leaf;
    private final long wayNanos;
    private final int share;
    private final SimulatedTime time;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int idle;
    private int open;
    private int connecting;
    private long made;

    ModelConnections(ModelLeaf leaf, long wayNanos, int share, SimulatedTime time) {
        this.leaf = leaf;
        this.wayNanos = wayNanos;
        this.share = share;
        this.time = time;
        this.idle = 1;
        this.open = 1;
        leaf.connected();
    }

    /** What becomes of a call. */
    interface Taker {
        /** Notes that the call reached the leaf. */
        void arrived();

        /** Takes its end; the load is null if the leaf said nothing. */
        void ended(LeafOutcome outcome, @Nullable LeafLoad load);
    }

    /** Returns how many connections were made. */
    long made() {
        return made;
    }

    Call send(long workNanos, Taker taker) {
        Call call = new Call(workNanos, taker);
        if (idle > 0) {
            idle--;
            call.sendNow();
        } else {
            waiting.add(call);
            connectIfNeeded();
        }
        return call;
    }

    private void connectIfNeeded() {
        if (connecting >= waiting.size() || open + connecting >= share) {
            return;
        }
        connecting++;
        made++;
        leaf.connected();
        boolean[] settled = new boolean[1];
        time.after(
                2 * wayNanos,
                () -> leaf.connect(() -> {
                    if (!settled[0]) {
                        settled[0] = true;
                        connecting--;
                        open++;
                        free();
                    }
                }));
        time.after(CONNECT_TIMEOUT_NANOS, () -> {
            if (!settled[0]) {
                settled[0] = true;
                connecting--;
                leaf.disconnected();
                failWaiting();
            }
        });
    }

    private void failWaiting() {
        while (!waiting.isEmpty()) {
            Call call = waiting.removeFirst();
            if (!call.over) {
                call.end(LeafOutcome.UNREACHABLE, null);
            }
        }
    }

    private void free() {
        Call next = waiting.pollFirst();
        while (next != null && next.over) {
            next = waiting.pollFirst();
        }
        if (next == null) {
            idle++;
        } else {
            next.sendNow();
        }
    }

    private void closed() {
        open--;
        leaf.disconnected();
        if (!waiting.isEmpty()) {
            connectIfNeeded();
        }
    }

    /** One call, waiting for a connection or under way. */
    final class Call {
        private final long workNanos;
        private final Taker taker;
        private boolean sent;
        private boolean over;
        private ModelLeaf.@Nullable Job job;

        private Call(long workNanos, Taker taker) {
            this.workNanos = workNanos;
            this.taker = taker;
        }

        private void sendNow() {
            sent = true;
            time.after(wayNanos, this::arrive);
        }

        private void arrive() {
            if (over) {
                return;
            }
            if (!leaf.isDark()) {
                taker.arrived();
            }
            job = leaf.call(workNanos, new ModelLeaf.Taker() {
                @Override
                public void done(LeafLoad load) {
                    answer(LeafOutcome.SUCCEEDED, load);
                }

                @Override
                public void refused(LeafLoad load) {
                    answer(LeafOutcome.REFUSED_BUSY, load);
                }
            });
        }

        private void answer(LeafOutcome outcome, LeafLoad load) {
            if (leaf.isDark()) {
                return;
            }
            time.after(wayNanos, () -> {
                if (!over) {
                    free();
                    end(outcome, load);
                }
            });
        }

        private void end(LeafOutcome outcome, @Nullable LeafLoad load) {
            over = true;
            taker.ended(outcome, load);
        }

        /** Gives the call up; the leaf drops it when it sees the connection closed. */
        void giveUp() {
            if (over) {
                return;
            }
            over = true;
            if (sent) {
                time.after(wayNanos, () -> {
                    if (job != null) {
                        leaf.drop(job);
                    }
                });
                closed();
            }
        }
    }
}
