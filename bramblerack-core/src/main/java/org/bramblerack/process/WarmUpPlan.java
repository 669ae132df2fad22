package org.bramblerack.process;

import java.time.Duration;

/**
 * Decides how many warm-up queries a host sends to itself, and when, so that its code is loaded and compiled before the
 * first callers arrive.
 *
 * <p>Every host runs a few queries, which load and link the code. Only a host that calls leaves itself runs many more,
 * since these let the compiler optimize leaf calls but take about as long as the rest of the start. The replicated
 * tables tell which hosts call leaves; they arrive some time after the start, so the host waits for them after its
 * first queries. A host that starts calling leaves later runs the remaining queries then, unless it has already had
 * requests.
 *
 * <p>Owned by one thread at a time.
 */
public final class WarmUpPlan {
    /** One query runs every part of the path. */
    static final int FIRST_QUERIES = 1;
    /** Enough leaf calls for the compiler to optimize their code. */
    static final int ALL_QUERIES = 30;
    /**
     * How long the tables must name this host before it warms up: a host may hold many shards briefly while a fleet
     * starts and few other hosts are known.
     */
    static final Duration SETTLE_TIME = Duration.ofSeconds(1);

    private static final long UNSET = Long.MIN_VALUE;

    private int served;
    private long callsLeavesSinceNanos = UNSET;

    /** Who calls the leaves of a query according to the replicated tables. */
    public enum LeafCalls {
        /** The tables are not known, or name no leaves yet. */
        UNKNOWN,
        /** This host makes at least some of the calls. */
        MADE_HERE,
        /** Other hosts make all calls. */
        MADE_BY_OTHERS
    }

    /** The next step of the warm-up. */
    public enum Step {
        /** Run one more query. */
        SERVE,
        /** Check again soon. */
        WAIT,
        /** Warm-up is complete. */
        END
    }

    /** Returns the next step while the host starts, and counts the query if one is to be run. */
    public Step next(LeafCalls calls) {
        if (served < FIRST_QUERIES || (calls == LeafCalls.MADE_HERE && served < ALL_QUERIES)) {
            served++;
            return Step.SERVE;
        }
        return calls == LeafCalls.UNKNOWN && served < ALL_QUERIES ? Step.WAIT : Step.END;
    }

    /** Returns the next step on a host that has started. */
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
