package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.UpstreamName;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class UpstreamTableTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final UpstreamLimits LIMITS = new UpstreamLimits(2, 25, Duration.ofSeconds(10), 5);
    private static final ServiceName SERVICE = new ServiceName("p", "s");
    private static final UpstreamName NEAR = new UpstreamName(SERVICE, "near");
    private static final UpstreamName FAR = new UpstreamName(SERVICE, "far");
    private static final ImmutableList<UpstreamName> BOTH = ImmutableList.of(FAR, NEAR);

    private final UpstreamTable table = new UpstreamTable("here");

    @BeforeEach
    void declare() {
        table.declare(upstream(NEAR, "here"), LIMITS, 0);
        table.declare(upstream(FAR, "there"), LIMITS, 0);
    }

    @Test
    void prefersTheNearReplicaUntilItIsSaturated() {
        assertThat(choose(0)).isEqualTo(Optional.of(NEAR));
        for (int call = 0; call < 12; call++) {
            evidence(NEAR).started();
        }
        assertThat(choose(0)).isEqualTo(Optional.of(FAR));
    }

    @Test
    void ejectsAfterRepeatedFailuresAndProbesWithOneCall() {
        fail(NEAR, 3, 0);
        assertThat(choose(MILLI)).isEqualTo(Optional.of(FAR));
        long later = 600 * MILLI;
        assertThat(evidence(NEAR).isEjected(later)).isFalse();
        evidence(NEAR).started();
        assertThat(evidence(NEAR).isEjected(later)).isTrue();
        evidence(NEAR).succeeded(MILLI, later);
        assertThat(evidence(NEAR).isEjected(later)).isFalse();
    }

    @Test
    void aRecoveredUpstreamCountsAsColdForAWhile() {
        fail(NEAR, 3, 0);
        evidence(NEAR).started();
        evidence(NEAR).succeeded(5 * MILLI, 600 * MILLI);
        double cold = evidence(NEAR).expectedNanos(600 * MILLI);
        double warm = evidence(NEAR).expectedNanos(4_000 * MILLI);
        assertThat(cold).isGreaterThan(2 * warm);
    }

    @Test
    void ignoresEjectionsIfEveryReplicaIsEjected() {
        fail(NEAR, 3, 0);
        fail(FAR, 3, 0);
        assertThat(choose(MILLI).isPresent()).isTrue();
    }

    @Test
    void neverChoosesALeavingUpstreamWhicheverSourceSaidSo() {
        for (DrainSource source : DrainSource.values()) {
            evidence(NEAR).setDraining(source, true);
            assertThat(choose(0)).isEqualTo(Optional.of(FAR));
            evidence(NEAR).setDraining(source, false);
        }
        evidence(NEAR).setDraining(DrainSource.PLATFORM, true);
        evidence(FAR).setDraining(DrainSource.UPSTREAM, true);
        assertThat(choose(0)).isEqualTo(Optional.empty());
    }

    @Test
    void oldObservationsDecay() {
        for (int call = 0; call < 50; call++) {
            evidence(NEAR).started();
            evidence(NEAR).succeeded(500 * MILLI, 0);
        }
        assertThat(choose(0)).isEqualTo(Optional.of(FAR));
        assertThat(evidence(NEAR).expectedNanos(600_000 * MILLI)).isLessThan(20.0 * MILLI);
    }

    @Test
    void retryBudgetIsBoundedByPercentageAndReserve() {
        RetryBudget budget = RetryBudget.create(5, 2);
        int spent = 0;
        for (int round = 0; round < 1_000; round++) {
            budget.deposit(1);
            while (budget.tryWithdraw()) {
                spent++;
            }
        }
        assertThat(spent).isAtMost(52);
        assertThat(spent).isAtLeast(50);
    }

    private void fail(UpstreamName name, int times, long nowNanos) {
        for (int call = 0; call < times; call++) {
            evidence(name).started();
            evidence(name).failed(nowNanos);
        }
    }

    private Optional<UpstreamName> choose(long nowNanos) {
        return table.choose(BOTH, name -> true, new SplittableRandom(1), nowNanos);
    }

    private UpstreamEvidence evidence(UpstreamName name) {
        return table.find(name).orElseThrow();
    }

    private static Upstream upstream(UpstreamName name, String zone) {
        return new Upstream(name, 0, zone, HostAndPort.fromParts("10.0.0.1", 80), false);
    }
}
