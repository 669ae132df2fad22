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
    private static final double ASK_BELOW = 1.0 / 3;
    private static final double FREE_ABOVE = 2.0 / 3;
    private static final double NANOS_A_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final QuotaBound bound;
    private final SpentWindow spent;
    private final long begunNanos;
    private RateLimit limit;
    private double level;
    private long levelNanos;
    private int grantedInDoubt;
    private boolean mustAsk;
    private boolean toldMustAsk;
    private long promisedNanos;

    /** Creates an account of which nothing was spent. */
    TeamAccount(QuotaBound bound, RateLimit limit, long nowNanos) {
        this.bound = bound;
        this.limit = limit;
        this.spent = new SpentWindow(bound.window().toNanos(), nowNanos);
        this.begunNanos = nowNanos;
        this.level = capacity();
        this.levelNanos = nowNanos;
        this.promisedNanos = nowNanos;
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
        review();
    }

    /**
     * Permits as many requests as there is room for.
     *
     * @param inDoubt true if hosts may have spent what this account does not know of yet
     */
    TeamAllowance.Builder ask(int count, boolean inDoubt, long nowNanos) {
        refill(nowNanos);
        double available = inDoubt ? Math.min(level, leftInDoubt(nowNanos)) : level;
        int granted = (int) Math.max(0, Math.min(count, Math.floor(available)));
        grantedInDoubt += granted;
        level -= granted;
        spent.add(granted, nowNanos);
        review();
        TeamAllowance.Builder allowance = TeamAllowance.newBuilder().setGranted(granted);
        int refused = count - granted;
        return refused == 0 ? allowance : promise(refused, allowance, nowNanos);
    }

    /** Adds what was spent before, by age, the latest first. */
    void addEarlier(List<Integer> byAge, long nowNanos) {
        spent.addAged(byAge, nowNanos);
    }

    /**
     * Works out what is there from what was spent within the window.
     *
     * @param doubt the part of the limit that may have been spent by hosts that did not tell
     */
    void reckon(double doubt, long nowNanos) {
        double most = capacity() * (1 - doubt);
        double perSlot = perNano() * (1 - doubt) * spent.slotNanos();
        List<Integer> byAge = spent.byAge(nowNanos);
        double reckoned = most;
        // Refilled before it is spent: what the limit of the bucket cuts off is at its greatest then.
        for (int age = byAge.size() - 1; age >= 0; age--) {
            reckoned = Math.min(most, reckoned + perSlot) - byAge.get(age);
        }
        level = Math.max(reckoned, bound.inDoubt() - spent.total(nowNanos));
        levelNanos = nowNanos;
        review();
    }

    boolean mustAsk() {
        return mustAsk;
    }

    /** Returns true, once, if hosts were told otherwise of whether they must ask. */
    boolean takeTurn() {
        boolean turned = mustAsk != toldMustAsk;
        toldMustAsk = mustAsk;
        return turned;
    }

    /** Returns true if nothing is left to be remembered. */
    boolean isIdle(long nowNanos) {
        refill(nowNanos);
        return level >= capacity() && spent.isEmpty(nowNanos);
    }

    private void refill(long nowNanos) {
        if (nowNanos > levelNanos) {
            level = Math.min(capacity(), level + perNano() * (nowNanos - levelNanos));
            levelNanos = nowNanos;
        }
    }

    /** Tells refused callers to come back one after the other, as permissions will be there. */
    private TeamAllowance.Builder promise(int refused, TeamAllowance.Builder allowance, long nowNanos) {
        double stepNanos = 1 / perNano();
        long firstNanos = nowNanos + (long) Math.max(0, (1 - level) * stepNanos);
        long latestNanos = firstNanos + bound.window().toNanos();
        long atNanos = Math.min(latestNanos, Math.max(firstNanos, promisedNanos));
        promisedNanos = Math.min(latestNanos, atNanos + (long) (refused * stepNanos));
        long longest = 2 * bound.window().toMillis();
        long millis = TimeUnit.NANOSECONDS.toMillis(atNanos - nowNanos) + 1;
        return allowance.setRetryAfterMillis((int) Math.min(longest, millis)).setRetryStepMicros((int)
                Math.min((double) TimeUnit.MILLISECONDS.toMicros(longest), stepNanos / 1_000));
    }

    private double leftInDoubt(long nowNanos) {
        return bound.inDoubt() + perNano() * (nowNanos - begunNanos) - grantedInDoubt;
    }

    private void review() {
        if (level < capacity() * ASK_BELOW) {
            mustAsk = true;
        } else if (level > capacity() * FREE_ABOVE) {
            mustAsk = false;
        }
    }

    private double capacity() {
        return bound.capacity(limit);
    }

    private double perNano() {
        return limit.perSecond() / NANOS_A_SECOND;
    }
}
