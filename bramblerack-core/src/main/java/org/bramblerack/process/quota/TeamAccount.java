package org.bramblerack.process.quota;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.wire.TeamAllowance;

/**
 * The account of one team's requests on all hosts: a token bucket, and the spending within the window.
 *
 * <p>A team's requests are permitted without asking until less than a third of the bucket is left; from then on each
 * request needs permission, until two thirds are available again. The last third covers what hosts spend before they
 * receive the notice that the team must ask.
 *
 * <p>There are two modes because most teams stay far within their limits and need not wait for a permission, while a
 * few make many times as many requests and must be held to their limits within a fraction of a second.
 *
 * <p>Reported spending is always counted, so the level may become negative. Not safe for use by several threads.
 */
final class TeamAccount {
    /** As a share of the capacity. */
    private static final double MUST_ASK_BELOW = 1.0 / 3;
    /** As a share of the capacity. */
    private static final double FREE_ABOVE = 2.0 / 3;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final QuotaBound bound;
    private final SpentWindow recordSpent;
    private final long createdNanos;
    private RateLimit limit;
    private double level;
    private long levelNanos;
    private int grantedWhileUncertain;
    private boolean mustAsk;
    private boolean notifiedMustAsk;
    private long nextRetryNanos;

    /** Creates an account with a full bucket. */
    TeamAccount(QuotaBound bound, RateLimit limit, long nowNanos) {
        this.bound = bound;
        this.limit = limit;
        this.recordSpent = new SpentWindow(bound.window().toNanos(), nowNanos);
        this.createdNanos = nowNanos;
        this.level = capacity();
        this.levelNanos = nowNanos;
        this.nextRetryNanos = nowNanos;
    }

    /** Changes the limit: a raised burst is available at once, and a lower one caps the level. */
    void setLimit(RateLimit changed, long nowNanos) {
        if (!changed.equals(limit)) {
            refill(nowNanos);
            double before = capacity();
            limit = changed;
            level = Math.min(capacity(), level + Math.max(0, capacity() - before));
        }
    }

    /** Counts requests that were made without permission from this account; a negative count is a refund. */
    void recordSpent(int count, long nowNanos) {
        refill(nowNanos);
        level = Math.min(capacity(), level - count);
        recordSpent.add(count, nowNanos);
        updateMustAsk();
    }

    /**
     * Grants as many of the requests as the level allows.
     *
     * @param uncertain true if hosts may have spent what this account does not know of yet
     */
    TeamAllowance.Builder grant(int requested, boolean uncertain, long nowNanos) {
        refill(nowNanos);
        double available = uncertain ? Math.min(level, remainingWhileUncertain(nowNanos)) : level;
        int granted = (int) Math.max(0, Math.min(requested, Math.floor(available)));
        grantedWhileUncertain += granted;
        level -= granted;
        recordSpent.add(granted, nowNanos);
        updateMustAsk();
        TeamAllowance.Builder allowance = TeamAllowance.newBuilder().setGranted(granted);
        int refused = requested - granted;
        return refused == 0 ? allowance : scheduleRetries(refused, allowance, nowNanos);
    }

    /** Adds earlier spending by age, the latest first; {@link #recompute} applies it to the level. */
    void addEarlier(List<Integer> byAge, long nowNanos) {
        recordSpent.addByAge(byAge, nowNanos);
    }

    /**
     * Recomputes the level from the spending within the window.
     *
     * @param unreportedShare the share of the limit that hosts may have spent without reporting it, 0 to 1
     */
    void recompute(double unreportedShare, long nowNanos) {
        double maxLevel = capacity() * (1 - unreportedShare);
        double perSlot = tokensPerNano() * (1 - unreportedShare) * recordSpent.slotNanos();
        List<Integer> byAge = recordSpent.byAge(nowNanos);
        double recomputed = maxLevel;
        // Refills before spending, so that the cap of the bucket discards the most and the level is a lower bound.
        for (int age = byAge.size() - 1; age >= 0; age--) {
            recomputed = Math.min(maxLevel, recomputed + perSlot) - byAge.get(age);
        }
        level = Math.max(recomputed, bound.allowanceWhileUncertain() - recordSpent.total(nowNanos));
        levelNanos = nowNanos;
        updateMustAsk();
    }

    boolean mustAsk() {
        return mustAsk;
    }

    /** Returns true if {@link #mustAsk} differs from what hosts were last notified of, and marks them as notified. */
    boolean takeMustAskChange() {
        boolean changed = mustAsk != notifiedMustAsk;
        notifiedMustAsk = mustAsk;
        return changed;
    }

    /** Returns true if the account can be removed without loss of information. */
    boolean isIdle(long nowNanos) {
        refill(nowNanos);
        return level >= capacity() && recordSpent.isEmpty(nowNanos);
    }

    private void refill(long nowNanos) {
        if (nowNanos > levelNanos) {
            level = Math.min(capacity(), level + tokensPerNano() * (nowNanos - levelNanos));
            levelNanos = nowNanos;
        }
    }

    /** Spreads the retries of refused callers over the times at which tokens become available. */
    private TeamAllowance.Builder scheduleRetries(int refused, TeamAllowance.Builder allowance, long nowNanos) {
        double stepNanos = 1 / tokensPerNano();
        long firstNanos = nowNanos + (long) Math.max(0, (1 - level) * stepNanos);
        long latestNanos = firstNanos + bound.window().toNanos();
        long atNanos = Math.min(latestNanos, Math.max(firstNanos, nextRetryNanos));
        nextRetryNanos = Math.min(latestNanos, atNanos + (long) (refused * stepNanos));
        long maxMillis = 2 * bound.window().toMillis();
        long millis = TimeUnit.NANOSECONDS.toMillis(atNanos - nowNanos) + 1;
        return allowance.setRetryAfterMillis((int) Math.min(maxMillis, millis)).setRetryStepMicros((int)
                Math.min((double) TimeUnit.MILLISECONDS.toMicros(maxMillis), stepNanos / 1_000));
    }

    private double remainingWhileUncertain(long nowNanos) {
        return bound.allowanceWhileUncertain() + tokensPerNano() * (nowNanos - createdNanos) - grantedWhileUncertain;
    }

    private void updateMustAsk() {
        if (level < capacity() * MUST_ASK_BELOW) {
            mustAsk = true;
        } else if (level > capacity() * FREE_ABOVE) {
            mustAsk = false;
        }
    }

    private double capacity() {
        return bound.capacity(limit);
    }

    private double tokensPerNano() {
        return limit.perSecond() / NANOS_PER_SECOND;
    }
}
