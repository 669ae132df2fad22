package org.bramblerack.daemon.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * An event parsed from a log line of a process.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param file the name of the log file, which identifies the host
 * @param at the time of the event by that host's wall clock
 * @param event the event name
 * @param fields the fields of the event, as text
 */
public record LoggedEvent(String file, Instant at, String event, ImmutableMap<String, String> fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Parses a line.
     *
     * @return the event, or empty if the line is none: other programs may write to the same output
     */
    public static Optional<LoggedEvent> parse(String file, String line) {
        int begin = line.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(line.substring(begin));
            if (!node.hasNonNull("at") || !node.hasNonNull("event")) {
                return Optional.empty();
            }
            ImmutableMap.Builder<String, String> fields = ImmutableMap.builder();
            node.properties().forEach(field -> {
                if (!field.getKey().equals("at") && !field.getKey().equals("event")) {
                    fields.put(field.getKey(), field.getValue().asText());
                }
            });
            Instant at = Instant.parse(node.get("at").asText());
            return Optional.of(new LoggedEvent(file, at, node.get("event").asText(), fields.buildOrThrow()));
        } catch (JsonProcessingException | DateTimeParseException | IllegalArgumentException notAnEvent) {
            return Optional.empty();
        }
    }

    /** Returns the value of a field, or empty text if the event does not have it. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
