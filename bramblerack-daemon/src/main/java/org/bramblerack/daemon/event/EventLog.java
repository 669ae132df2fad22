package org.bramblerack.daemon.event;

import static java.util.Objects.requireNonNull;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes the events of one part of the program, each as a line with named fields.
 *
 * <p>The names of events and fields are for people and programs that read the lines later; {@code docs/OPERATIONS.md}
 * lists them. Safe for use by many threads.
 */
public final class EventLog {
    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Returns the log of the part that a class belongs to. */
    public static EventLog of(Class<?> source) {
        return new EventLog(LoggerFactory.getLogger(requireNonNull(source)));
    }

    /** Begins a line about something that is part of normal work. */
    public Line info(String event) {
        return new Line(logger.atLevel(Level.INFO).setMessage(requireNonNull(event)));
    }

    /** Begins a line about something that an operator should look at. */
    public Line warning(String event) {
        return new Line(logger.atLevel(Level.WARN).setMessage(requireNonNull(event)));
    }

    /** A line that is not written yet. Not safe for use by several threads. */
    public static final class Line {
        private LoggingEventBuilder builder;

        private Line(LoggingEventBuilder builder) {
            this.builder = builder;
        }

        /** Adds a field that holds text. */
        public Line with(String name, String value) {
            builder = builder.addKeyValue(name, requireNonNull(value));
            return this;
        }

        /** Adds a field that holds a number. */
        public Line with(String name, long value) {
            builder = builder.addKeyValue(name, value);
            return this;
        }

        /** Adds a field that holds true or false. */
        public Line with(String name, boolean value) {
            builder = builder.addKeyValue(name, value);
            return this;
        }

        /** Writes the line, or counts it as lost if the reader of the output is too slow. */
        public void write() {
            builder.log();
        }
    }
}
