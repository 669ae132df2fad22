package org.bramblerack.request.routed;

/**
 * Schedules the hedge of one request, and further checks after a hedge was denied.
 *
 * <p>An attempt that is overdue at its leaf is hedged before it is late among all calls of its route. If that hedge is
 * denied, it is checked again when the attempt is late, and then a few times at short intervals, since leaves and
 * budget may have become available. Not safe for use by several threads.
 */
final class HedgeSchedule {
    /** How many times the hedge of a late attempt may be denied before it is not checked any more. */
    private static final int MAX_DENIALS = 4;

    private static final int RECHECK_DELAY_DIVISOR = 4;

    private final long lateAfterNanos;
    private int denials;
    private boolean deniedEarly;
    private long notBeforeNanos;

    /**
     * Creates a schedule.
     *
     * @param lateAfterNanos after how long an attempt is late among all calls of its route
     */
    HedgeSchedule(long lateAfterNanos) {
        this.lateAfterNanos = lateAfterNanos;
    }

    /** Returns true unless the hedge was denied too often. */
    boolean isOpen() {
        return denials < MAX_DENIALS;
    }

    /** Returns when an attempt is due to be hedged. */
    long dueNanos(Attempt first) {
        return denials > 0 || deniedEarly ? notBeforeNanos : Math.min(first.overdueNanos(), lateAtNanos(first));
    }

    /** Returns true if an attempt is not yet late among all calls of its route. */
    boolean isEarly(Attempt first, long nowNanos) {
        return nowNanos - lateAtNanos(first) < 0;
    }

    /** Records that the hedge of an attempt was denied, and schedules the next check. */
    void recordDenial(Attempt first, long nowNanos) {
        if (isEarly(first, nowNanos)) {
            deniedEarly = true;
            notBeforeNanos = lateAtNanos(first);
        } else {
            denials++;
            notBeforeNanos = nowNanos + lateAfterNanos / RECHECK_DELAY_DIVISOR;
        }
    }

    private long lateAtNanos(Attempt first) {
        return first.sentNanos() + lateAfterNanos;
    }
}
