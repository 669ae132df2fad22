package org.bramblerack.daemon.lifecycle;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.bramblerack.daemon.event.BoundedAppender;
import org.bramblerack.daemon.event.JsonLineEncoder;
import org.slf4j.LoggerFactory;

/**
 * Configures logging to standard error as text or JSON, or to standard output as structured events.
 *
 * <p>Call one of the methods before other threads log.
 */
public final class LogSetup {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0}: %msg %kvp%n%ex{short}";

    private LogSetup() {}

    /** Logs human-readable text to standard error. */
    public static void useText() {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern(PATTERN);
        configure(encoder);
    }

    /** Logs one JSON object per line to standard error. */
    public static void useJson() {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setWithFormattedMessage(true);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        configure(encoder);
    }

    /**
     * Logs one JSON object per line to standard output from a separate thread, so that callers never block on the
     * output.
     *
     * @return the appender, which counts the lines that were dropped because the output was too slow
     */
    public static BoundedAppender useEvents() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.addAppender(createConsoleAppender(context, new JsonLineEncoder(), "System.out"));
        bounded.start();
        setLevels(context, bounded);
        return bounded;
    }

    private static void configure(Encoder<ILoggingEvent> encoder) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        setLevels(context, createConsoleAppender(context, encoder, "System.err"));
    }

    private static ConsoleAppender<ILoggingEvent> createConsoleAppender(
            LoggerContext context, Encoder<ILoggingEvent> encoder, String target) {
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget(target);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    private static void setLevels(LoggerContext context, Appender<ILoggingEvent> appender) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(appender);
        context.getLogger("org.bramblerack").setLevel(Level.INFO);
    }
}
