package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bramblerack.wire.HarmReport;
import org.junit.jupiter.api.Test;

/** Checks the local evidence of a host and the reports that it makes for others. */
final class HarmfulRequestFilterTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Fingerprints REQUEST = Fingerprints.of("GET", "host", "/path", "", new byte[0]);

    private final HarmfulRequestFilter filter = new HarmfulRequestFilter();

    @Test
    void anotherHostReportsTheEvidenceOfAPartitionedHost() {
        filter.recordLeafEnd(1, List.of(new Arrival(REQUEST, 1)), SECOND_NANOS);
        HarmReport report = filter.takeReport().orElseThrow();
        HarmfulRequestFilter other = new HarmfulRequestFilter();
        other.adoptReport(report, SECOND_NANOS);
        assertThat(other.takeReport()).isEqualTo(Optional.of(report));
    }

    @Test
    void evidenceAgainstAnAnsweredRequestIsNotAdopted() {
        filter.recordLeafEnd(1, List.of(new Arrival(REQUEST, 1)), SECOND_NANOS);
        HarmfulRequestFilter other = new HarmfulRequestFilter();
        other.recordSurvival(REQUEST, SECOND_NANOS);
        other.adoptReport(filter.takeReport().orElseThrow(), SECOND_NANOS);
        assertThat(other.takeReport().orElseThrow().getSurvivedCount()).isEqualTo(1);
        assertThat(other.permission(() -> REQUEST)).isEqualTo(Permission.FREE);
    }

    /** The request may be known only from another host, so that there is no local evidence. */
    @Test
    void aHostWithoutControlRunsOneTrialAtATime() {
        assertThat(filter.tryStartLocalTrial(new Arrival(REQUEST, 1), SECOND_NANOS))
                .isTrue();
        assertThat(filter.tryStartLocalTrial(new Arrival(REQUEST, 2), SECOND_NANOS))
                .isFalse();
        filter.endTrial(new Arrival(REQUEST, 1), false, 0);
        assertThat(filter.tryStartLocalTrial(new Arrival(REQUEST, 2), SECOND_NANOS))
                .isTrue();
        assertThat(filter.tryStartLocalTrial(new Arrival(REQUEST, 3), 3 * SECOND_NANOS))
                .isTrue();
    }
}
