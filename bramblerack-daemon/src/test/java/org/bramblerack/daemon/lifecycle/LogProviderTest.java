package org.bramblerack.daemon.lifecycle;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

/** Guards against Logback configuring itself before {@link LogSetup} does. */
final class LogProviderTest {
    @Test
    void hasNoAppendersBeforeLogSetup() {
        LogProvider provider = new LogProvider();
        provider.initialize();
        assertThat(provider.getLoggerFactory()).isInstanceOf(LoggerContext.class);
        LoggerContext context = (LoggerContext) provider.getLoggerFactory();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        assertThat(root.iteratorForAppenders().hasNext()).isFalse();
        assertThat(root.getLevel()).isEqualTo(Level.WARN);
        assertThat(provider.getMDCAdapter()).isSameInstanceAs(context.getMDCAdapter());
    }
}
