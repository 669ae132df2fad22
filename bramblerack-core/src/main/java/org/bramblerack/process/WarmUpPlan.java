package org.bramblerack.process;

import java.time.Duration;

/**
 * Decides how many queries of its own a host serves, and when, so that its code is loaded and compiled when callers
 * come.
 *
 * <p>It answers a fleet that starts, or is restarted host by host, on small processors. A few queries load and link the
 * code of every host. Many more let the compiler take up the code of a leaf call, which runs once a shard and query;
 * they cost as much as the rest of the start, and pay only on a host that calls leafs itself. Which hosts do is said by
 * the agreed tables, that come some time after the start: the host waits for them after its first queries. If it learns
 * later that it is one, as in a fleet whose leafs start after it, it serves the rest then, unless there is work.
 *
 * <p>Owned by one thread at a time.
 */
public final class WarmUpPlan {
    /** With one, every part of the path has run. */
    static final int FIRST_QUERIES = 1;
    /** Enough for the compiler to take up the code of a leaf call. */
    static final int ALL_QUERIES = 30;
    /**
     * Tables change in series while a fleet starts, and a host holds many shards for a moment while it knows few
     * others.
     */
    static final Duration SETTLE_TIME = Duration.ofSeconds(1);

    private static final long UNSET = Long.MIN_VALUE;

    private int served;
    private long callsLeavesSinceNanos = UNSET;

    /** What the agreed tables say of the calls to leafs that a query takes. */
    public enum LeafCalls {
        /** The tables are not known, or name no leafs yet. */
        UNKNOWN,
        /** This host makes some of them. */
        MADE_HERE,
        /** Other hosts make them. */
        MADE_BY_OTHERS
    }

    /** What to do next. */
    public enum Step {
        /** Serve one more query. */
        SERVE,
        /** Look again soon. */
        WAIT,
        /** That was enough. */
        END
    }

    /** Says what to do next while the host starts, and counts the query if one is to be served. */
    public Step next(LeafCalls calls) {
        if (served < FIRST_QUERIES || (calls == LeafCalls.MADE_HERE && served < ALL_QUERIES)) {
            served++;
            return Step.SERVE;
        }
        return calls == LeafCalls.UNKNOWN && served < ALL_QUERIES ? Step.WAIT : Step.END;
    }

    /** Says what to do next on a host that has started. */
    public Step nextAfterStart(LeafCalls calls, boolean hasHadWork, long nowNanos) {
        if (hasHadWork || served >= ALL_QUERIES) {
            return Step.END;
        }
        if (calls != LeafCalls.MADE_HERE) {
            callsLeavesSinceNanos = UNSET;
            return Step.WAIT;
        }
        if (callsLeavesSinceNanos == UNSET) {
            callsLeavesSinceNanos = nowNanos;
        }
        return nowNanos - callsLeavesSinceNanos >= SETTLE_TIME.toNanos() ? Step.SERVE : Step.WAIT;
    }
}
