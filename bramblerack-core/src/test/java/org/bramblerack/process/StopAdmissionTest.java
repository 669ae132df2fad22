package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class StopAdmissionTest {
    private static final Duration UNKNOWN = Duration.ZERO;
    private static final String KIND = "kind";

    private long nowNanos = Long.MAX_VALUE - seconds(1);
    private final StopAdmission admission = new StopAdmission(kind -> kind.equals(KIND), () -> nowNanos);

    @Test
    void aProcessThatIsNotStoppingAcceptsEverything() {
        assertThat(accepts(UNKNOWN, 3_600)).isTrue();
    }

    @Test
    void aRequestThatMustEndInTimeIsAccepted() {
        stopIn(5);
        assertThat(accepts(UNKNOWN, 5)).isTrue();
        assertThat(accepts(Duration.ofMinutes(1), 5)).isTrue();
    }

    @Test
    void aRequestOfUnknownDurationIsRefusedIfItMayOutlastTheProcess() {
        stopIn(5);
        assertThat(accepts(UNKNOWN, 6)).isFalse();
    }

    @Test
    void aLongDeadlineDoesNotCountIfSimilarRequestsAreShort() {
        admission.recordDuration(KIND, seconds(1));
        admission.recordDuration(KIND, seconds(2));
        admission.recordDuration(KIND, seconds(1));
        stopIn(5);
        assertThat(accepts(UNKNOWN, 60)).isTrue();
        nowNanos += seconds(2);
        assertThat(accepts(UNKNOWN, 60)).isFalse();
    }

    @Test
    void theExpectationOfTheOperatorCountsIfItIsLongerThanWhatWasObserved() {
        admission.recordDuration(KIND, seconds(1));
        stopIn(5);
        assertThat(accepts(Duration.ofSeconds(2), 60)).isTrue();
        assertThat(accepts(Duration.ofSeconds(3), 60)).isFalse();
    }

    /** Its caller may send it again, so that a single slow request does not keep all others from being served. */
    @Test
    void aRepeatableRequestIsJudgedByWhatIsExpectedOfIt() {
        admission.recordDuration(KIND, seconds(4));
        stopIn(5);
        long deadlineNanos = nowNanos + seconds(60);
        assertThat(admission.mayAcceptRepeatable(KIND, Duration.ofSeconds(2), deadlineNanos))
                .isTrue();
        assertThat(admission.mayAcceptRepeatable(KIND, Duration.ofSeconds(3), deadlineNanos))
                .isFalse();
        assertThat(admission.mayAcceptRepeatable(KIND, UNKNOWN, deadlineNanos)).isFalse();
        assertThat(accepts(Duration.ofSeconds(2), 60)).isFalse();
    }

    @Test
    void longRequestsAreForgotten() {
        admission.recordDuration(KIND, seconds(4));
        nowNanos += seconds(31);
        admission.recordDuration(KIND, seconds(1));
        nowNanos += seconds(31);
        admission.recordDuration(KIND, seconds(1));
        stopIn(5);
        assertThat(accepts(UNKNOWN, 60)).isTrue();
    }

    @Test
    void nothingIsAcceptedAfterTheLastAnswer() {
        admission.recordDuration(KIND, 1);
        stopIn(5);
        nowNanos += seconds(5);
        assertThat(accepts(UNKNOWN, 0)).isFalse();
    }

    @Test
    void kindsThatNoLongerExistAreForgotten() {
        admission.recordDuration(KIND, 1);
        admission.recordDuration("removed", 1);
        for (int kind = 0; kind < 200; kind++) {
            admission.recordDuration("other-" + kind, 1);
        }
        stopIn(5);
        assertThat(accepts(UNKNOWN, 60)).isTrue();
        assertThat(admission.mayAccept("removed", UNKNOWN, nowNanos + seconds(60)))
                .isFalse();
    }

    private boolean accepts(Duration expected, long deadlineSeconds) {
        return admission.mayAccept(KIND, expected, nowNanos + seconds(deadlineSeconds));
    }

    private void stopIn(long lastAnswerSeconds) {
        admission.beginStop(StopWindow.closingAt(nowNanos + seconds(lastAnswerSeconds)));
    }

    private static long seconds(long count) {
        return Duration.ofSeconds(count).toNanos();
    }
}
