package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * The load that a leaf last reported, as long as it is recent.
 *
 * <p>Not safe for use by several threads.
 */
final class ReportedLoad {
    /** How long a reported number of calls is taken to be current: the time of a few calls. */
    private static final long LOAD_VALIDITY_NANOS = Duration.ofMillis(250).toNanos();
    /** How long a reported work factor is taken to be current: it changes several times a second. */
    private static final long WORK_VALIDITY_NANOS = Duration.ofMillis(200).toNanos();

    private static final double MIN_WORK_FACTOR = 0.2;
    private static final double MAX_WORK_FACTOR = 10.0;
    /** The decay of the estimated calls of other hosts: the time of a few calls. */
    private static final Duration HALF_LIFE = Duration.ofMillis(400);
    /** Averages a few reports, since each one is a snapshot. */
    private static final double SMOOTHING = 0.3;

    private final DecayingAverage callsOfOthers;
    private int calls;
    private double workFactor = 1;
    private long reportedAtNanos;

    ReportedLoad(long nowNanos) {
        this.callsOfOthers = new DecayingAverage(0, SMOOTHING, HALF_LIFE, nowNanos);
    }

    /**
     * Records a reported load.
     *
     * @param callsOfThisHost how many of the calls at the leaf are from this host
     */
    void record(LeafLoad load, int callsOfThisHost, long nowNanos) {
        calls = load.running() + load.waiting();
        reportedAtNanos = nowNanos;
        callsOfOthers.observe(Math.max(0, calls - callsOfThisHost), nowNanos);
        double factor = (double) load.workPercent() / LeafLoad.USUAL_PERCENT;
        workFactor = Math.max(MIN_WORK_FACTOR, Math.min(factor, MAX_WORK_FACTOR));
    }

    /** Returns the number of calls of all hosts at the leaf, or 0 if there is no recent report. */
    int calls(long nowNanos) {
        return nowNanos - reportedAtNanos < LOAD_VALIDITY_NANOS ? calls : 0;
    }

    /** Returns the estimated number of calls of other hosts at the leaf. */
    double callsOfOthers(long nowNanos) {
        return callsOfOthers.at(nowNanos);
    }

    /** Returns the reported factor by which work takes longer than usual, or 1 if there is no recent report. */
    double workFactor(long nowNanos) {
        return nowNanos - reportedAtNanos < WORK_VALIDITY_NANOS ? workFactor : 1;
    }
}
