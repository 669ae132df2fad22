package org.bramblerack.cli.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bramblerack.process.leaf.LeafLoad;
import org.bramblerack.process.leaf.LeafOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The modelled connections of one host to one leaf, each of which carries one call at a time.
 *
 * <p>Invariant: at most {@code maxConnections} are open or being established. Abandoning a call that was sent closes
 * its connection. Not safe for use by several threads.
 */
final class ModelConnections {
    /** The same timeout as in the entry host. */
    private static final long CONNECT_TIMEOUT_NANOS = 1_500_000_000L;

    private final ModelLeaf leaf;
    private final long networkDelayNanos;
    private final int maxConnections;
    private final SimulatedTime time;
    private final Deque<Call> queued = new ArrayDeque<>();
    private int idle;
    private int open;
    private int connecting;
    private long connectionsMade;

    ModelConnections(ModelLeaf leaf, long networkDelayNanos, int maxConnections, SimulatedTime time) {
        this.leaf = leaf;
        this.networkDelayNanos = networkDelayNanos;
        this.maxConnections = maxConnections;
        this.time = time;
        this.idle = 1;
        this.open = 1;
        leaf.connected();
    }

    /** Receives the events of a call. */
    interface CallListener {
        /** Handles the arrival of the call at the leaf. */
        void onArrival();

        /** Handles the end of the call; the load is null if the leaf did not report any. */
        void onEnd(LeafOutcome outcome, @Nullable LeafLoad load);
    }

    /** Returns how many connections were attempted, not counting the initial one. */
    long connectionsMade() {
        return connectionsMade;
    }

    Call send(long workNanos, CallListener listener) {
        Call call = new Call(workNanos, listener);
        if (idle > 0) {
            idle--;
            call.sendNow();
        } else {
            queued.add(call);
            connectIfNeeded();
        }
        return call;
    }

    private void connectIfNeeded() {
        if (connecting >= queued.size() || open + connecting >= maxConnections) {
            return;
        }
        connecting++;
        connectionsMade++;
        leaf.connected();
        boolean[] settled = new boolean[1];
        time.after(
                2 * networkDelayNanos,
                () -> leaf.connect(() -> {
                    if (!settled[0]) {
                        settled[0] = true;
                        connecting--;
                        open++;
                        releaseConnection();
                    }
                }));
        time.after(CONNECT_TIMEOUT_NANOS, () -> {
            if (!settled[0]) {
                settled[0] = true;
                connecting--;
                leaf.disconnected();
                failQueuedCalls();
            }
        });
    }

    private void failQueuedCalls() {
        while (!queued.isEmpty()) {
            Call call = queued.removeFirst();
            if (!call.ended) {
                call.end(LeafOutcome.UNREACHABLE, null);
            }
        }
    }

    private void releaseConnection() {
        Call next = queued.pollFirst();
        while (next != null && next.ended) {
            next = queued.pollFirst();
        }
        if (next == null) {
            idle++;
        } else {
            next.sendNow();
        }
    }

    private void onConnectionClosed() {
        open--;
        leaf.disconnected();
        if (!queued.isEmpty()) {
            connectIfNeeded();
        }
    }

    /** One call, either queued for a connection or sent. */
    final class Call {
        private final long workNanos;
        private final CallListener listener;
        private boolean sent;
        private boolean ended;
        private ModelLeaf.@Nullable Job job;

        private Call(long workNanos, CallListener listener) {
            this.workNanos = workNanos;
            this.listener = listener;
        }

        private void sendNow() {
            sent = true;
            time.after(networkDelayNanos, this::arrive);
        }

        private void arrive() {
            if (ended) {
                return;
            }
            if (!leaf.isUnreachable()) {
                listener.onArrival();
            }
            job = leaf.call(workNanos, new ModelLeaf.JobListener() {
                @Override
                public void onDone(LeafLoad load) {
                    scheduleReply(LeafOutcome.SUCCEEDED, load);
                }

                @Override
                public void onRefused(LeafLoad load) {
                    scheduleReply(LeafOutcome.REFUSED_BUSY, load);
                }
            });
        }

        private void scheduleReply(LeafOutcome outcome, LeafLoad load) {
            if (leaf.isUnreachable()) {
                return;
            }
            time.after(networkDelayNanos, () -> {
                if (!ended) {
                    releaseConnection();
                    end(outcome, load);
                }
            });
        }

        private void end(LeafOutcome outcome, @Nullable LeafLoad load) {
            ended = true;
            listener.onEnd(outcome, load);
        }

        /** Abandons the call; if it was sent, the leaf cancels it one network delay later. */
        void abandon() {
            if (ended) {
                return;
            }
            ended = true;
            if (sent) {
                time.after(networkDelayNanos, () -> {
                    if (job != null) {
                        leaf.cancel(job);
                    }
                });
                onConnectionClosed();
            }
        }
    }
}
