package org.bramblerack.daemon.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import org.bramblerack.request.Refusal;
import org.bramblerack.request.RefusalKind;
import org.bramblerack.request.RequestId;
import org.bramblerack.version.ServiceName;

/**
 * Parses the JSON bodies of callers' requests strictly, with bounded depth and length.
 *
 * <p>Stateless and safe for use by many threads.
 */
final class CallerBodies {
    private static final int MAX_DEPTH = 32;
    private static final int MAX_STRING_CHARS = 256 * 1024;
    private static final long MAX_DEADLINE_MILLIS = Duration.ofMinutes(5).toMillis();
    private static final ImmutableSet<String> QUERY_FIELDS =
            ImmutableSet.of("requestId", "class", "deadlineMs", "query");
    private static final ImmutableSet<String> OPERATION_FIELDS =
            ImmutableSet.of("requestId", "deadlineMs", "issuedAtMs", "arguments");
    private static final JsonMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .maxStringLength(MAX_STRING_CHARS)
                            .build())
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private CallerBodies() {}

    /** Parses the body of a query. */
    static Either<Refusal, CallerQuery> readQuery(ServiceName service, byte[] body) {
        try {
            JsonNode root = parse(body, QUERY_FIELDS);
            return Either.right(new CallerQuery(
                    requestId(root), service, text(root, "class"), deadline(root), serialize(root, "query")));
        } catch (InvalidBodyException invalid) {
            return Either.left(Refusal.of(RefusalKind.BAD_REQUEST, invalid.reason()));
        }
    }

    /** Parses the body of a once-only request. */
    static Either<Refusal, CallerOperation> readOperation(ServiceName service, String operation, byte[] body) {
        try {
            JsonNode root = parse(body, OPERATION_FIELDS);
            long issuedAtMillis = root.has("issuedAtMs") ? integer(root, "issuedAtMs", Long.MAX_VALUE) : 0;
            return Either.right(new CallerOperation(
                    requestId(root), service, operation, deadline(root), issuedAtMillis, serialize(root, "arguments")));
        } catch (InvalidBodyException invalid) {
            return Either.left(Refusal.of(RefusalKind.BAD_REQUEST, invalid.reason()));
        }
    }

    private static JsonNode parse(byte[] body, ImmutableSet<String> allowed) throws InvalidBodyException {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException malformed) {
            throw new InvalidBodyException("the body is not valid JSON within " + MAX_DEPTH + " levels: "
                    + firstLine(malformed.getOriginalMessage()) + "; correct it");
        } catch (IOException malformed) {
            throw new InvalidBodyException("the body cannot be read as JSON in UTF-8; correct it");
        }
        if (root == null || !root.isObject()) {
            throw new InvalidBodyException("the body is not a JSON object; send one with the fields " + allowed);
        }
        Iterator<String> names = root.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!allowed.contains(name)) {
                throw new InvalidBodyException("the field " + abbreviate(name) + " is unknown; use only " + allowed);
            }
        }
        return root;
    }

    private static RequestId requestId(JsonNode root) throws InvalidBodyException {
        String value = text(root, "requestId");
        if (!RequestId.isValid(value)) {
            throw new InvalidBodyException("requestId is malformed; use 1 to 128 letters, digits and . _ : -");
        }
        return new RequestId(value);
    }

    private static String text(JsonNode root, String field) throws InvalidBodyException {
        JsonNode value = root.get(field);
        if (value == null || !value.isTextual() || value.textValue().isBlank()) {
            throw new InvalidBodyException("the field " + field + " is missing or not a text; add it");
        }
        return value.textValue();
    }

    private static Optional<Duration> deadline(JsonNode root) throws InvalidBodyException {
        return root.has("deadlineMs")
                ? Optional.of(Duration.ofMillis(integer(root, "deadlineMs", MAX_DEADLINE_MILLIS)))
                : Optional.empty();
    }

    private static long integer(JsonNode root, String field, long max) throws InvalidBodyException {
        JsonNode value = root.get(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new InvalidBodyException("the field " + field + " is not a whole number; correct it");
        }
        if (value.longValue() < 1 || value.longValue() > max) {
            throw new InvalidBodyException("the field " + field + " is out of bounds; choose from 1 to " + max);
        }
        return value.longValue();
    }

    private static ByteString serialize(JsonNode root, String field) throws InvalidBodyException {
        JsonNode value = root.get(field);
        if (value == null) {
            throw new InvalidBodyException("the field " + field + " is missing; add it, or give it the value null");
        }
        try {
            return ByteString.copyFrom(MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException impossible) {
            throw new InvalidBodyException("the field " + field + " cannot be handed on; correct it");
        }
    }

    private static String firstLine(String message) {
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }

    private static String abbreviate(String name) {
        return name.length() <= 40 ? name : name.substring(0, 40) + "...";
    }

    /** A body is invalid; carries the reason and the remedy. */
    private static final class InvalidBodyException extends Exception {
        private static final long serialVersionUID = 1L;

        private final String reason;

        InvalidBodyException(String reason) {
            super(reason, null, false, false);
            this.reason = reason;
        }

        String reason() {
            return reason;
        }
    }
}
