package org.bramblerack.daemon.event;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.slf4j.event.KeyValuePair;

/**
 * Encodes a log line as one JSON object with its time, level, source class, event name and the fields of the event.
 *
 * <p>A line without fields has a {@code message} instead of an {@code event}. Safe for use by many threads.
 */
public final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
    private static final byte[] LINE_END = "\n".getBytes(StandardCharsets.US_ASCII);
    private static final int INITIAL_LINE_BYTES = 320;

    private final JsonFactory factory = new JsonFactory();

    @Override
    public byte[] headerBytes() {
        return new byte[0];
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
        try (JsonGenerator json = factory.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField(
                    "at", Instant.ofEpochMilli(event.getTimeStamp()).toString());
            json.writeStringField("level", event.getLevel().toString());
            json.writeStringField("source", simpleName(event.getLoggerName()));
            writeContent(event, json);
            json.writeEndObject();
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot encode a log line in memory", failure);
        }
        bytes.writeBytes(LINE_END);
        return bytes.toByteArray();
    }

    @Override
    public byte[] footerBytes() {
        return new byte[0];
    }

    private static void writeContent(ILoggingEvent event, JsonGenerator json) throws IOException {
        boolean hasFields =
                event.getKeyValuePairs() != null && !event.getKeyValuePairs().isEmpty();
        json.writeStringField(hasFields ? "event" : "message", event.getFormattedMessage());
        if (hasFields) {
            for (KeyValuePair pair : event.getKeyValuePairs()) {
                writeField(pair, json);
            }
        }
        IThrowableProxy failure = event.getThrowableProxy();
        if (failure != null) {
            json.writeStringField("failure", failure.getClassName() + ": " + failure.getMessage());
        }
    }

    private static void writeField(KeyValuePair pair, JsonGenerator json) throws IOException {
        if (pair.value instanceof Long number) {
            json.writeNumberField(pair.key, number);
        } else if (pair.value instanceof Boolean flag) {
            json.writeBooleanField(pair.key, flag);
        } else {
            json.writeStringField(pair.key, String.valueOf(pair.value));
        }
    }

    private static String simpleName(String name) {
        return name.substring(name.lastIndexOf('.') + 1);
    }
}
