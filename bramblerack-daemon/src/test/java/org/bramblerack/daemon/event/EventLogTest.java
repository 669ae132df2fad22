package org.bramblerack.daemon.event;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against events that cannot be parsed back, unbounded log output, and logging that blocks its callers. */
final class EventLogTest {
    private static final int FLOOD_LINES = 20_000;

    private final LoggerContext context = new LoggerContext();

    @BeforeEach
    void start() {
        context.setMDCAdapter(new LogbackMDCAdapter());
        context.start();
    }

    @AfterEach
    void stop() {
        context.stop();
    }

    @Test
    void parsesAWrittenLineWithAllItsFields() {
        ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
        BoundedAppender appender = appender(event -> lines.add(encode(event)));
        Logger logger = context.getLogger("org.bramblerack.Some");
        logger.addAppender(appender);
        logger.atInfo()
                .setMessage("request_ended")
                .addKeyValue("request", "a\"b\n")
                .addKeyValue("missing", 3L)
                .addKeyValue("held", true)
                .log();
        logger.info("plain");
        appender.stop();
        List<String> written = List.copyOf(lines);
        LoggedEvent event =
                LoggedEvent.parse("host", "12.5 prefix " + written.get(0)).orElseThrow();
        assertThat(event.event()).isEqualTo("request_ended");
        assertThat(event.field("request")).isEqualTo("a\"b\n");
        assertThat(event.field("missing")).isEqualTo("3");
        assertThat(event.field("held")).isEqualTo("true");
        assertThat(event.field("source")).isEqualTo("Some");
        assertThat(written.get(1)).contains("\"message\":\"plain\"");
        assertThat(LoggedEvent.parse("host", written.get(1))).isEqualTo(Optional.empty());
        assertThat(LoggedEvent.parse("host", "{broken")).isEqualTo(Optional.empty());
    }

    @Test
    void aBlockedOutputDropsLinesWithoutBlockingCallers() {
        CountDownLatch unblocked = new CountDownLatch(1);
        AtomicLong written = new AtomicLong();
        BoundedAppender appender = appender(event -> {
            unblocked.await();
            written.incrementAndGet();
        });
        Logger logger = context.getLogger("org.bramblerack.Some");
        logger.addAppender(appender);
        for (int line = 0; line < FLOOD_LINES; line++) {
            logger.info("line");
        }
        assertThat(written.get()).isEqualTo(0);
        assertThat(appender.droppedLineCount()).isAtLeast(FLOOD_LINES / 2L);
        unblocked.countDown();
        appender.stop();
        assertThat(written.get() + appender.droppedLineCount()).isAtMost(FLOOD_LINES);
    }

    @Test
    void theRateLimiterSuppressesAndCountsExcessLines() {
        AtomicLong nowNanos = new AtomicLong();
        LogRateLimiter limiter = new LogRateLimiter(nowNanos::get, 3);
        int admittedLines = 0;
        for (int line = 0; line < 10; line++) {
            admittedLines += limiter.tryAcquire() ? 1 : 0;
        }
        assertThat(admittedLines).isEqualTo(3);
        assertThat(limiter.takeSuppressedCount()).isEqualTo(7);
        assertThat(limiter.takeSuppressedCount()).isEqualTo(0);
        nowNanos.set(Duration.ofSeconds(1).toNanos());
        assertThat(limiter.tryAcquire()).isTrue();
    }

    private BoundedAppender appender(EventSink eventSink) {
        AppenderBase<ILoggingEvent> sink = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                try {
                    eventSink.take(event);
                } catch (InterruptedException stopped) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        sink.setContext(context);
        sink.start();
        BoundedAppender appender = new BoundedAppender();
        appender.setContext(context);
        appender.addAppender(sink);
        appender.start();
        return appender;
    }

    private static String encode(ILoggingEvent event) {
        return new String(new JsonLineEncoder().encode(event), StandardCharsets.UTF_8);
    }

    private interface EventSink {
        void take(ILoggingEvent event) throws InterruptedException;
    }
}
