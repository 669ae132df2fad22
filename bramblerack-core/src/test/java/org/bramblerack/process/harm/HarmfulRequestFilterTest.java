package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bramblerack.wire.HarmReport;
import org.junit.jupiter.api.Test;

/** What a host makes of what it saw by itself, and whom it has tell it. */
final class HarmfulRequestFilterTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Fingerprints REQUEST = Fingerprints.of("GET", "host", "/path", "", new byte[0]);

    private final HarmfulRequestFilter guard = new HarmfulRequestFilter();

    @Test
    void whatAHostThatIsCutOffSawIsToldByAnother() {
        guard.recordLeafEnd(1, List.of(new Arrival(REQUEST, 1)), SECOND_NANOS);
        HarmReport seen = guard.takeReport().orElseThrow();
        HarmfulRequestFilter other = new HarmfulRequestFilter();
        other.adoptReport(seen, SECOND_NANOS);
        assertThat(other.takeReport()).isEqualTo(Optional.of(seen));
    }

    @Test
    void whatALeafAnsweredIsNotAccusedByAnotherHost() {
        guard.recordLeafEnd(1, List.of(new Arrival(REQUEST, 1)), SECOND_NANOS);
        HarmfulRequestFilter other = new HarmfulRequestFilter();
        other.recordSurvival(REQUEST, SECOND_NANOS);
        other.adoptReport(guard.takeReport().orElseThrow(), SECOND_NANOS);
        assertThat(other.takeReport().orElseThrow().getSurvivedCount()).isEqualTo(1);
        assertThat(other.permission(() -> REQUEST)).isEqualTo(Permission.FREE);
    }

    /** Another host may have told of the request, so that this one has no evidence of its own. */
    @Test
    void aHostThatControlDoesNotAnswerTriesOneArrivalAtATime() {
        assertThat(guard.tryStartLocalTrial(new Arrival(REQUEST, 1), SECOND_NANOS))
                .isTrue();
        assertThat(guard.tryStartLocalTrial(new Arrival(REQUEST, 2), SECOND_NANOS))
                .isFalse();
        guard.endTrial(new Arrival(REQUEST, 1), false, 0);
        assertThat(guard.tryStartLocalTrial(new Arrival(REQUEST, 2), SECOND_NANOS))
                .isTrue();
        assertThat(guard.tryStartLocalTrial(new Arrival(REQUEST, 3), 3 * SECOND_NANOS))
                .isTrue();
    }
}
