package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bramblerack.process.WindowedBudget;
import org.junit.jupiter.api.Test;

final class LeafTest {
    private static final long EXPECTED = Duration.ofMillis(20).toNanos();
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final LeafPool pool = new LeafPool("s", shareOf(10, 10));

    @Test
    void aNearLeafIsPreferredToOneInAnotherRegion() {
        Leaf near = leaf("near", Distance.SAME_ZONE);
        leaf("far", Distance.OTHER_REGION);
        assertThat(choose(0)).isEqualTo(near);
    }

    @Test
    void aStalledLeafIsAvoidedUntilItAnswers() {
        Leaf near = leaf("near", Distance.SAME_ZONE);
        Leaf far = leaf("far", Distance.OTHER_REGION);
        Leaf.Call call = near.begin(EXPECTED, 0);
        assertThat(choose(10 * MILLI)).isEqualTo(near);
        assertThat(choose(100 * MILLI)).isEqualTo(far);
        near.end(call, LeafOutcome.SUCCEEDED, Optional.empty(), 150 * MILLI);
        assertThat(near.isStalled(151 * MILLI)).isFalse();
    }

    @Test
    void aCallThatIsAbandonedEarlyDoesNotCountAgainstTheLeaf() {
        Leaf near = leaf("near", Distance.SAME_ZONE);
        leaf("far", Distance.OTHER_REGION);
        for (int call = 0; call < 20; call++) {
            near.abandon(near.begin(EXPECTED, 0), 10 * MILLI);
        }
        assertThat(near.isEjected(10 * MILLI)).isFalse();
        assertThat(choose(10 * MILLI)).isEqualTo(near);
    }

    @Test
    void aCallThatIsAbandonedLateMarksTheLeafStalled() {
        Leaf near = leaf("near", Distance.SAME_ZONE);
        Leaf far = leaf("far", Distance.OTHER_REGION);
        near.abandon(near.begin(EXPECTED, 0), 100 * MILLI);
        assertThat(choose(110 * MILLI)).isEqualTo(far);
        assertThat(near.isEjected(110 * MILLI)).isFalse();
    }

    @Test
    void aLeafThatNeverAnswersIsEjected() {
        Leaf unreachable = leaf("dark", Distance.SAME_ZONE);
        for (int call = 0; call < 4; call++) {
            unreachable.abandon(unreachable.begin(EXPECTED, 0), 100 * MILLI);
        }
        assertThat(unreachable.isEjected(101 * MILLI)).isTrue();
    }

    @Test
    void oldSlownessDecays() {
        Leaf slow = leaf("slow", Distance.SAME_ZONE);
        leaf("far", Distance.OTHER_REGION);
        for (int call = 0; call < 20; call++) {
            slow.end(slow.begin(EXPECTED, 0), LeafOutcome.SUCCEEDED, Optional.empty(), 10 * EXPECTED);
        }
        assertThat(choose(10 * EXPECTED)).isNotEqualTo(slow);
        assertThat(choose(Duration.ofMinutes(2).toNanos())).isEqualTo(slow);
    }

    /** A rejection neither counts as a failure nor ends a series of failures. */
    @Test
    void aRejectionAloneIsNoEvidence() {
        Leaf rejecting = leaf("rejecting", Distance.SAME_ZONE);
        for (int call = 0; call < 20; call++) {
            rejecting.end(rejecting.begin(EXPECTED, 0), LeafOutcome.REJECTED, Optional.empty(), MILLI);
        }
        assertThat(rejecting.isEjected(MILLI)).isFalse();
        assertThat(rejecting.inFlight()).isEqualTo(0);
        rejecting.recordFailure(MILLI);
        rejecting.recordFailure(MILLI);
        rejecting.end(rejecting.begin(EXPECTED, 0), LeafOutcome.REJECTED, Optional.empty(), MILLI);
        rejecting.recordFailure(MILLI);
        assertThat(rejecting.isEjected(MILLI)).isTrue();
    }

    @Test
    void aLeafWithRepeatedFailuresIsUsedOnlyIfThereIsNoOther() {
        Leaf bad = leaf("bad", Distance.SAME_ZONE);
        for (int failure = 0; failure < 3; failure++) {
            bad.end(bad.begin(EXPECTED, 0), LeafOutcome.BROKEN, Optional.empty(), MILLI);
        }
        assertThat(bad.isEjected(2 * MILLI)).isTrue();
        assertThat(choose(2 * MILLI)).isEqualTo(bad);
        Leaf far = leaf("far", Distance.OTHER_REGION);
        assertThat(choose(2 * MILLI)).isEqualTo(far);
    }

    @Test
    void aReplacedLeafGetsNoMoreWork() {
        Leaf gone = leaf("gone", Distance.SAME_ZONE);
        gone.end(gone.begin(EXPECTED, 0), LeafOutcome.REFUSED_GONE, Optional.empty(), MILLI);
        assertThat(gone.acceptsWork()).isFalse();
        assertThat(pool.choose(leaf -> true, EXPECTED, new SplittableRandom(1), MILLI))
                .isEqualTo(Optional.empty());
    }

    /** Guards against queries that start at once because of leaves that they may not be sent to. */
    @Test
    void aLeafOfADrainedZoneHasNoCapacity() {
        Leaf leaf = leaf("near", Distance.SAME_ZONE);
        assertThat(pool.hasCapacity(0)).isTrue();
        leaf.setZoneDrained(true);
        assertThat(pool.hasCapacity(0)).isFalse();
        leaf.setZoneDrained(false);
        assertThat(pool.hasCapacity(0)).isTrue();
    }

    @Test
    void theReportedLoadAffectsTheChoice() {
        Leaf loaded = leaf("loaded", Distance.SAME_ZONE);
        Leaf other = leaf("other", Distance.SAME_ZONE);
        loaded.end(loaded.begin(EXPECTED, 0), LeafOutcome.SUCCEEDED, LeafLoad.parse("2,3,2"), 20 * MILLI);
        assertThat(loaded.isOverloaded(21 * MILLI)).isTrue();
        assertThat(other.isOverloaded(21 * MILLI)).isFalse();
        assertThat(choose(21 * MILLI)).isEqualTo(other);
    }

    @Test
    void callsOfOtherHostsCountUntilTheReportIsOld() {
        Leaf loaded = leaf("loaded", Distance.SAME_ZONE);
        Leaf other = leaf("other", Distance.SAME_ZONE);
        for (int call = 0; call < 10; call++) {
            loaded.end(loaded.begin(EXPECTED, 0), LeafOutcome.SUCCEEDED, LeafLoad.parse("2,6,2"), EXPECTED);
        }
        Leaf.Call own = other.begin(EXPECTED, 0);
        assertThat(other.isUnderWay(own)).isTrue();
        assertThat(choose(EXPECTED)).isEqualTo(other);
        assertThat(loaded.costNanos(EXPECTED, EXPECTED)).isGreaterThan(2.0 * EXPECTED);
        long muchLater = EXPECTED + Duration.ofSeconds(10).toNanos();
        assertThat(loaded.costNanos(EXPECTED, muchLater)).isLessThan(1.2 * EXPECTED);
    }

    @Test
    void aLeafThatRefusesItsCallsIsAvoidedOnceTheBudgetIsSpent() {
        Leaf refusing = leaf("refusing", Distance.SAME_ZONE);
        Leaf busy = leaf("busy", Distance.SAME_ZONE);
        for (int call = 0; call < 30; call++) {
            LeafOutcome outcome = call % 5 < 3 ? LeafOutcome.REFUSED_BUSY : LeafOutcome.SUCCEEDED;
            refusing.end(refusing.begin(EXPECTED, 0), outcome, Optional.empty(), EXPECTED);
        }
        for (int call = 0; call < 4; call++) {
            busy.begin(EXPECTED, 2 * EXPECTED);
        }
        long now = 6 * EXPECTED;
        assertThat(refusing.refusalRate(now)).isWithin(0.25).of(0.6);
        assertThat(choose(now)).isEqualTo(refusing);
        while (pool.budget().tryWithdraw(now)) {
            // Exhausts the budget.
        }
        assertThat(choose(now)).isEqualTo(busy);
    }

    @Test
    void refusalsAreIgnoredIfTheFeatureIsOff() {
        RoutingContext context =
                new RoutingContext(RoutingPolicy.without(RoutingFeature.REFUSAL_PRICE), EventLoopLag.none());
        LeafPool plain = new LeafPool("s", shareOf(0, 0), context);
        Leaf refusing = new Leaf("refusing", "s", "10.0.0.1:1", Distance.SAME_ZONE, 2, Duration.ZERO, 0);
        Leaf sound = new Leaf("sound", "s", "10.0.0.1:2", Distance.SAME_REGION, 2, Duration.ZERO, 0);
        plain.add(refusing);
        plain.add(sound);
        for (int call = 0; call < 30; call++) {
            refusing.end(refusing.begin(EXPECTED, 0), LeafOutcome.REFUSED_BUSY, Optional.empty(), 0);
        }
        assertThat(plain.choose(leaf -> true, EXPECTED, new SplittableRandom(1), EXPECTED * 5))
                .isEqualTo(Optional.of(refusing));
    }

    @Test
    void oldRefusalsDecay() {
        Leaf refusing = leaf("refusing", Distance.SAME_ZONE);
        for (int call = 0; call < 30; call++) {
            refusing.end(refusing.begin(EXPECTED, 0), LeafOutcome.REFUSED_BUSY, Optional.empty(), 0);
        }
        assertThat(refusing.refusalRate(0)).isGreaterThan(0.9);
        assertThat(refusing.refusalRate(Duration.ofMinutes(2).toNanos())).isLessThan(0.05);
    }

    @Test
    void malformedLoadsAreIgnored() {
        assertThat(LeafLoad.parse("1,2,3")).isEqualTo(Optional.of(new LeafLoad(1, 2, 3, 100)));
        assertThat(LeafLoad.parse("1,2,3,400")).isEqualTo(Optional.of(new LeafLoad(1, 2, 3, 400)));
        for (String text : new String[] {
            "", "1", "1,2", "a,b,c", ",,", "1,2,3,", "1,2,3,x", "1,2,3,4,5", "99999999999,0,1", "1,2,3,99999999999"
        }) {
            assertThat(LeafLoad.parse(text)).isEqualTo(Optional.empty());
        }
    }

    @Test
    void aReportedWorkFactorAppliesOnlyForAMoment() {
        Leaf slowed = leaf("slowed", Distance.SAME_ZONE);
        Leaf other = leaf("other", Distance.SAME_REGION);
        slowed.end(slowed.begin(EXPECTED, 0), LeafOutcome.SUCCEEDED, loadWithWorkPercent(400), 4 * EXPECTED);
        assertThat(choose(4 * EXPECTED)).isEqualTo(other);
        assertThat(choose(4 * EXPECTED + Duration.ofSeconds(1).toNanos())).isEqualTo(slowed);
    }

    private static Optional<LeafLoad> loadWithWorkPercent(int workPercent) {
        return Optional.of(new LeafLoad(0, 0, 2, workPercent));
    }

    private Leaf leaf(String id, Distance distance) {
        Leaf leaf = new Leaf(id, "s", "10.0.0.1:1", distance, 2, Duration.ZERO, 0);
        pool.add(leaf);
        return leaf;
    }

    private Leaf choose(long nowNanos) {
        return pool.choose(leaf -> true, EXPECTED, new SplittableRandom(1), nowNanos)
                .orElseThrow();
    }

    /** Guards against a holder that forwards a call to a third host because of a short queue. */
    @Test
    void aHolderUsesAnotherLeafOnlyIfItsOwnIsStalled() {
        LeafPool held = new LeafPool("s", shareOf(10, 10));
        Leaf own = new Leaf("own", "s", "10.0.0.1:1", Distance.SAME_ZONE, 2, Duration.ZERO, 0);
        Leaf other = new Leaf("other", "s", "10.0.0.1:2", Distance.SAME_REGION, 2, Duration.ZERO, 0);
        held.add(own);
        held.add(other);
        for (int call = 0; call < 4; call++) {
            own.begin(EXPECTED, 0);
        }
        assertThat(chooseFrom(held, 1)).isEqualTo(other);
        held.setHeldLocally(true);
        assertThat(chooseFrom(held, 1)).isEqualTo(own);
        long overdue = 20 * EXPECTED;
        assertThat(own.isStalled(overdue)).isTrue();
        assertThat(chooseFrom(held, overdue)).isEqualTo(other);
    }

    private static Leaf chooseFrom(LeafPool pool, long nowNanos) {
        return pool.choose(leaf -> true, EXPECTED, new SplittableRandom(1), nowNanos)
                .orElseThrow();
    }

    private static WindowedBudget shareOf(int extraPercent, int reserve) {
        Duration window = Duration.ofSeconds(10);
        return WindowedBudget.create(extraPercent, window, -2 * window.toNanos())
                .setReserve(reserve, reserve);
    }
}
