package org.bramblerack.process.quota;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.wire.TeamAllowance;

/**
 * The account of what one team spends on all hosts: a token bucket, and what was spent within the window.
 *
 * <p>The load that it answers: most teams make far fewer requests than their limit, and must not wait for a word; a few
 * make many times as many, and must be held to it within a fraction of a second. So a team makes requests freely, and
 * is told to ask once two thirds of what it may make at once are spent: the last third covers what is spent until the
 * hosts hear of that. It asks until two thirds are there again.
 *
 * <p>What is reported is always counted, also beyond what is there. Not safe for use by several threads.
 */
final class TeamAccount {
    private static final double MUST_ASK_BELOW = 1.0 / 3;
    private static final double FREE_ABOVE = 2.0 / 3;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final QuotaBound bound;
    private final SpentWindow spent;
    private final long createdNanos;
    private RateLimit limit;
    private double level;
    private long levelNanos;
    private int grantedWhileUncertain;
    private boolean mustAsk;
    private boolean notifiedMustAsk;
    private long nextRetryNanos;

    /** Creates an account of which nothing was spent. */
    TeamAccount(QuotaBound bound, RateLimit limit, long nowNanos) {
        this.bound = bound;
        this.limit = limit;
        this.spent = new SpentWindow(bound.window().toNanos(), nowNanos);
        this.createdNanos = nowNanos;
        this.level = capacity();
        this.levelNanos = nowNanos;
        this.nextRetryNanos = nowNanos;
    }

    /** Takes over a changed limit: a raised one at once, a lower one with what was spent under the other. */
    void setLimit(RateLimit changed, long nowNanos) {
        if (!changed.equals(limit)) {
            refill(nowNanos);
            double before = capacity();
            limit = changed;
            level = Math.min(capacity(), level + Math.max(0, capacity() - before));
        }
    }

    /** Counts what was spent without being asked for; negative if it is given back. */
    void spent(int count, long nowNanos) {
        refill(nowNanos);
        level = Math.min(capacity(), level - count);
        spent.add(count, nowNanos);
        updateMustAsk();
    }

    /**
     * Permits as many requests as there is room for.
     *
     * @param uncertain true if hosts may have spent what this account does not know of yet
     */
    TeamAllowance.Builder grant(int requested, boolean uncertain, long nowNanos) {
        refill(nowNanos);
        double available = uncertain ? Math.min(level, remainingWhileUncertain(nowNanos)) : level;
        int granted = (int) Math.max(0, Math.min(requested, Math.floor(available)));
        grantedWhileUncertain += granted;
        level -= granted;
        spent.add(granted, nowNanos);
        updateMustAsk();
        TeamAllowance.Builder allowance = TeamAllowance.newBuilder().setGranted(granted);
        int refused = requested - granted;
        return refused == 0 ? allowance : scheduleRetries(refused, allowance, nowNanos);
    }

    /** Adds what was spent before, by age, the latest first. */
    void addEarlier(List<Integer> byAge, long nowNanos) {
        spent.addByAge(byAge, nowNanos);
    }

    /**
     * Works out what is there from what was spent within the window.
     *
     * @param unreportedShare the part of the limit that may have been spent by hosts that did not tell
     */
    void recompute(double unreportedShare, long nowNanos) {
        double maxLevel = capacity() * (1 - unreportedShare);
        double perSlot = tokensPerNano() * (1 - unreportedShare) * spent.slotNanos();
        List<Integer> byAge = spent.byAge(nowNanos);
        double recomputed = maxLevel;
        // Refilled before it is spent: what the limit of the bucket cuts off is at its greatest then.
        for (int age = byAge.size() - 1; age >= 0; age--) {
            recomputed = Math.min(maxLevel, recomputed + perSlot) - byAge.get(age);
        }
        level = Math.max(recomputed, bound.allowanceWhileUncertain() - spent.total(nowNanos));
        levelNanos = nowNanos;
        updateMustAsk();
    }

    boolean mustAsk() {
        return mustAsk;
    }

    /** Returns true, once, if hosts were told otherwise of whether they must ask. */
    boolean takeMustAskChange() {
        boolean changed = mustAsk != notifiedMustAsk;
        notifiedMustAsk = mustAsk;
        return changed;
    }

    /** Returns true if nothing is left to be remembered. */
    boolean isIdle(long nowNanos) {
        refill(nowNanos);
        return level >= capacity() && spent.isEmpty(nowNanos);
    }

    private void refill(long nowNanos) {
        if (nowNanos > levelNanos) {
            level = Math.min(capacity(), level + tokensPerNano() * (nowNanos - levelNanos));
            levelNanos = nowNanos;
        }
    }

    /** Tells refused callers to come back one after the other, as permissions will be there. */
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
