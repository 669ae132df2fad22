package org.bramblerack.process.quota;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collections;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.wire.TeamAllowance;
import org.junit.jupiter.api.Test;

/** Grants of one account: a burst, a steady load above the limit, and a takeover with earlier spending. */
final class TeamAccountTest {
    private static final QuotaBound BOUND = new QuotaBound(Duration.ofSeconds(5), 0.1, 20);
    private static final RateLimit LIMIT = new RateLimit(10, 20);
    /** The burst and half of the slack. */
    private static final int CAPACITY = 30;

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final TeamAccount account = new TeamAccount(BOUND, LIMIT, 0);

    @Test
    void aBurstIsGrantedAndThenOnlyTheRate() {
        assertThat(grant(100, 0)).isEqualTo(CAPACITY);
        assertThat(grant(100, SECOND)).isEqualTo(10);
        assertThat(grant(100, SECOND + SECOND / 2)).isEqualTo(5);
    }

    @Test
    void aTeamMustAskBelowOneThirdUntilTwoThirdsAreAvailable() {
        account.recordSpent(CAPACITY * 2 / 3, 0);
        assertThat(account.mustAsk()).isFalse();
        account.recordSpent(1, 0);
        assertThat(account.mustAsk()).isTrue();
        account.recordSpent(0, SECOND);
        assertThat(account.mustAsk()).isTrue();
        account.recordSpent(0, 2 * SECOND);
        assertThat(account.mustAsk()).isFalse();
    }

    @Test
    void overspendingDelaysFurtherGrants() {
        account.recordSpent(CAPACITY + 20, 0);
        assertThat(grant(1, SECOND)).isEqualTo(0);
        assertThat(grant(1, 2 * SECOND + SECOND / 5)).isEqualTo(1);
    }

    @Test
    void refundedRequestsCanBeGrantedAgain() {
        assertThat(grant(CAPACITY, 0)).isEqualTo(CAPACITY);
        account.recordSpent(-3, 0);
        assertThat(grant(10, 0)).isEqualTo(3);
    }

    @Test
    void retryTimesOfRefusedCallersAreSpread() {
        assertThat(grant(CAPACITY, 0)).isEqualTo(CAPACITY);
        TeamAllowance first = account.grant(2, false, 0).build();
        TeamAllowance second = account.grant(1, false, 0).build();
        assertThat(first.getRetryAfterMillis()).isAtLeast(100);
        assertThat(first.getRetryStepMicros()).isEqualTo(100_000);
        assertThat(second.getRetryAfterMillis()).isAtLeast(first.getRetryAfterMillis() + 200);
    }

    @Test
    void aTakenOverAccountAppliesEarlierSpending() {
        // The whole burst was spent just now, so nothing is left.
        account.addEarlier(ImmutableList.of(CAPACITY), 0);
        account.recompute(0, 0);
        assertThat(grant(1, 0)).isEqualTo(0);
        // Spending at exactly the limit's rate leaves nearly the whole burst.
        TeamAccount steady = new TeamAccount(BOUND, LIMIT, 0);
        steady.addEarlier(ImmutableList.copyOf(Collections.nCopies(SpentWindow.SLOTS, 2)), 0);
        steady.recompute(0, 0);
        assertThat(steady.grant(100, false, 0).getGranted()).isAtLeast(CAPACITY - 3);
    }

    @Test
    void withoutReportsOnlyAQuarterOfTheSlackIsGranted() {
        account.recompute(1, 0);
        assertThat(grant(100, 0)).isEqualTo(5);
    }

    @Test
    void raisedAndLoweredLimitsApplyAtOnce() {
        assertThat(grant(CAPACITY, 0)).isEqualTo(CAPACITY);
        account.setLimit(new RateLimit(10, 25), 0);
        assertThat(grant(100, 0)).isEqualTo(5);
        account.setLimit(new RateLimit(1, 0), 10 * SECOND);
        assertThat(grant(100, 20 * SECOND)).isEqualTo(10);
    }

    private int grant(int requested, long nowNanos) {
        return account.grant(requested, false, nowNanos).getGranted();
    }
}
