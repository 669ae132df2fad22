package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which calls are taken to have been on a leaf when it ended. */
final class EndWatchTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();

    private final EndWatch<String> watch = new EndWatch<>();

    @Test
    void whatBrokeAndWhatIsAtWorkWasOnALeafThatTakesNoConnection() {
        watch.sent("broken");
        watch.sent("at work");
        watch.sent("answered");
        watch.answered("answered");
        watch.broke("broken", 0);
        assertThat(watch.isDown(MILLI_NANOS)).containsExactly("broken", "at work");
        assertThat(watch.isInDoubt()).isFalse();
    }

    @Test
    void aLeafThatTakesAConnectionAccusesNobody() {
        watch.sent("broken");
        watch.broke("broken", 0);
        watch.isUp(0);
        assertThat(watch.isDown(MILLI_NANOS)).isEmpty();
    }

    /** A connection that was under way when the leaf ended let its end go unseen. */
    @Test
    void aConnectionThatWasBegunBeforeTheBreakSaysNothing() {
        watch.sent("broken");
        watch.broke("broken", 2 * MILLI_NANOS);
        watch.isUp(MILLI_NANOS);
        assertThat(watch.isDown(3 * MILLI_NANOS)).containsExactly("broken");
    }

    @Test
    void whatWasGivenUpAMomentBeforeWasOnIt() {
        watch.sent("long ago");
        watch.givenUp("long ago", 0);
        watch.sent("just before");
        watch.givenUp("just before", 400 * MILLI_NANOS);
        watch.idleEnded(500 * MILLI_NANOS);
        assertThat(watch.isDown(510 * MILLI_NANOS)).containsExactly("just before");
    }
}
