package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which calls are taken to have been on a leaf when it ended. */
final class LeafEndDetectorTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();

    private final LeafEndDetector<String> watch = new LeafEndDetector<>();

    @Test
    void whatBrokeAndWhatIsAtWorkWasOnALeafThatTakesNoConnection() {
        watch.onSent("broken");
        watch.onSent("at work");
        watch.onSent("answered");
        watch.onAnswered("answered");
        watch.onDisconnected("broken", 0);
        assertThat(watch.onConnectFailed(MILLI_NANOS)).containsExactly("broken", "at work");
        assertThat(watch.isEndSuspected()).isFalse();
    }

    @Test
    void aLeafThatTakesAConnectionAccusesNobody() {
        watch.onSent("broken");
        watch.onDisconnected("broken", 0);
        watch.onConnected(0);
        assertThat(watch.onConnectFailed(MILLI_NANOS)).isEmpty();
    }

    /** A connection that was under way when the leaf ended let its end go unseen. */
    @Test
    void aConnectionThatWasBegunBeforeTheBreakSaysNothing() {
        watch.onSent("broken");
        watch.onDisconnected("broken", 2 * MILLI_NANOS);
        watch.onConnected(MILLI_NANOS);
        assertThat(watch.onConnectFailed(3 * MILLI_NANOS)).containsExactly("broken");
    }

    @Test
    void whatWasGivenUpAMomentBeforeWasOnIt() {
        watch.onSent("long ago");
        watch.onAbandoned("long ago", 0);
        watch.onSent("just before");
        watch.onAbandoned("just before", 400 * MILLI_NANOS);
        watch.onIdleConnectionClosed(500 * MILLI_NANOS);
        assertThat(watch.onConnectFailed(510 * MILLI_NANOS)).containsExactly("just before");
    }
}
