package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against calls that are wrongly reported, or missed, when a leaf ends. */
final class LeafEndDetectorTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();

    private final LeafEndDetector<String> detector = new LeafEndDetector<>();

    @Test
    void reportsDisconnectedAndInFlightCallsIfNoConnectionIsPossible() {
        detector.onSent("disconnected");
        detector.onSent("in flight");
        detector.onSent("answered");
        detector.onAnswered("answered");
        detector.onDisconnected("disconnected", 0);
        assertThat(detector.onConnectFailed(MILLI_NANOS)).containsExactly("disconnected", "in flight");
        assertThat(detector.isEndSuspected()).isFalse();
    }

    @Test
    void reportsNoCallsIfTheLeafAcceptsAConnection() {
        detector.onSent("disconnected");
        detector.onDisconnected("disconnected", 0);
        detector.onConnected(0);
        assertThat(detector.onConnectFailed(MILLI_NANOS)).isEmpty();
    }

    /** The leaf may have ended after it accepted that connection. */
    @Test
    void ignoresAConnectionThatBeganBeforeTheDisconnect() {
        detector.onSent("disconnected");
        detector.onDisconnected("disconnected", 2 * MILLI_NANOS);
        detector.onConnected(MILLI_NANOS);
        assertThat(detector.onConnectFailed(3 * MILLI_NANOS)).containsExactly("disconnected");
    }

    @Test
    void reportsCallsThatWereAbandonedJustBefore() {
        detector.onSent("long ago");
        detector.onAbandoned("long ago", 0);
        detector.onSent("just before");
        detector.onAbandoned("just before", 400 * MILLI_NANOS);
        detector.onIdleConnectionClosed(500 * MILLI_NANOS);
        assertThat(detector.onConnectFailed(510 * MILLI_NANOS)).containsExactly("just before");
    }
}
