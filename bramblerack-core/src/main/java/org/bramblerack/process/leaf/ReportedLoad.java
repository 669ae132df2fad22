package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * What a leaf told of its load, as far as it still holds.
 *
 * <p>Not safe for use by several threads.
 */
final class ReportedLoad {
    /** How long a load that was told shows by itself that the leaf is full: the time of a few calls. */
    private static final long LOAD_VALIDITY_NANOS = Duration.ofMillis(250).toNanos();
    /**
     * How long what a leaf tells of how long its work takes is taken to hold: it changes several times a second, in
     * phases of 0.4 to 0.5 s on the users' shifted deployment, so that one has about half of that left.
     */
    private static final long WORK_VALIDITY_NANOS = Duration.ofMillis(200).toNanos();

    private static final double MIN_WORK_FACTOR = 0.2;
    private static final double MAX_WORK_FACTOR = 10.0;
    /** How fast a load that was told fades: the time of a few calls. */
    private static final Duration HALF_LIFE = Duration.ofMillis(400);
    /** A load that was told is that of a moment; averaged over a few it says what the next call will meet. */
    private static final double SMOOTHING = 0.3;

    private final DecayingAverage callsOfOthers;
    private int calls;
    private double workFactor = 1;
    private long reportedAtNanos;

    ReportedLoad(long nowNanos) {
        this.callsOfOthers = new DecayingAverage(0, SMOOTHING, HALF_LIFE, nowNanos);
    }

    /**
     * Notes a load.
     *
     * @param callsOfThisHost how many of the calls there are this host's
     */
    void record(LeafLoad load, int callsOfThisHost, long nowNanos) {
        calls = load.running() + load.waiting();
        reportedAtNanos = nowNanos;
        callsOfOthers.observe(Math.max(0, calls - callsOfThisHost), nowNanos);
        double factor = (double) load.workPercent() / LeafLoad.USUAL_PERCENT;
        workFactor = Math.max(MIN_WORK_FACTOR, Math.min(factor, MAX_WORK_FACTOR));
    }

    /** Returns how many calls of all hosts were there, if that was told a moment ago; else 0. */
    int calls(long nowNanos) {
        return nowNanos - reportedAtNanos < LOAD_VALIDITY_NANOS ? calls : 0;
    }

    /** Returns how many calls of other hosts are to be expected. */
    double callsOfOthers(long nowNanos) {
        return callsOfOthers.at(nowNanos);
    }

    /** Returns how many times as long as usual work takes there. */
    double workFactor(long nowNanos) {
        return nowNanos - reportedAtNanos < WORK_VALIDITY_NANOS ? workFactor : 1;
    }
}
