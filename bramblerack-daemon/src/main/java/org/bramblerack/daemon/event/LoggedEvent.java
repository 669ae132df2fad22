package org.bramblerack.daemon.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * A line that a process wrote, read back.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param file the name of the file that it was read from, which says whose it is
 * @param at when it was written, by that host's time of day
 * @param event what happened
 * @param fields the fields of the event, as text
 */
public record LoggedEvent(String file, Instant at, String event, ImmutableMap<String, String> fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Reads a line.
     *
     * @return the event, or nothing if the line is not one: other programs may write to the same output
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
        } catch (JsonProcessingException | DateTimeParseException | IllegalArgumentException other) {
            return Optional.empty();
        }
    }

    /** Returns a field, or empty text if the line has none of that name. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
