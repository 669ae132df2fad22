package org.bramblerack.daemon.event;

import static java.util.Objects.requireNonNull;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes structured events, each as a log line with named fields.
 *
 * <p>Operators and tools read the names of events and fields, which {@code docs/OPERATIONS.md} lists. Safe for use by
 * many threads.
 */
public final class EventLog {
    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Returns the event log of a class, whose simple name is the source of its events. */
    public static EventLog of(Class<?> source) {
        return new EventLog(LoggerFactory.getLogger(requireNonNull(source)));
    }

    /** Starts a line for an event of normal operation. */
    public Line info(String event) {
        return new Line(logger.atLevel(Level.INFO).setMessage(requireNonNull(event)));
    }

    /** Starts a line for an event that needs an operator's attention. */
    public Line warning(String event) {
        return new Line(logger.atLevel(Level.WARN).setMessage(requireNonNull(event)));
    }

    /** A builder of one line. Not safe for use by several threads. */
    public static final class Line {
        private LoggingEventBuilder builder;

        private Line(LoggingEventBuilder builder) {
            this.builder = builder;
        }

        /** Adds a text field. */
        public Line with(String name, String value) {
            builder = builder.addKeyValue(name, requireNonNull(value));
            return this;
        }

        /** Adds a numeric field. */
        public Line with(String name, long value) {
            builder = builder.addKeyValue(name, value);
            return this;
        }

        /** Adds a boolean field. */
        public Line with(String name, boolean value) {
            builder = builder.addKeyValue(name, value);
            return this;
        }

        /** Writes the line, or drops and counts it if the output is too slow. */
        public void write() {
            builder.log();
        }
    }
}
