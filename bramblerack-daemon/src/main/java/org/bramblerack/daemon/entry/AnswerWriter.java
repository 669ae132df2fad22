package org.bramblerack.daemon.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.request.Answer;
import org.bramblerack.request.CheckedReply;
import org.bramblerack.request.Refusal;
import org.bramblerack.request.RunState;
import org.bramblerack.wire.Claim;

/**
 * Writes the responses to callers and operators as JSON.
 *
 * <p>A payload that is valid JSON is written unchanged, any other in base 64. Stateless and safe for use by many
 * threads.
 */
final class AnswerWriter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private AnswerWriter() {}

    static byte[] answer(CallerQuery query, Answer answer) {
        return write(json -> {
            json.writeStringField("requestId", query.requestId().value());
            json.writeStringField("service", query.service().toString());
            json.writeNumberField("indexVersion", answer.indexVersion());
            json.writeObjectFieldStart("coverage");
            json.writeNumberField("shards", answer.coverage().shardCount());
            json.writeNumberField("covered", answer.coverage().coveredCount());
            json.writeArrayFieldStart("missing");
            for (int shard : answer.coverage().missing()) {
                json.writeNumber(shard);
            }
            json.writeEndArray();
            json.writeEndObject();
            json.writeArrayFieldStart("results");
            for (CheckedReply reply : answer.replies()) {
                json.writeStartObject();
                json.writeNumberField("shard", reply.shard());
                writePayload(json, "payload", reply.payload());
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }

    static byte[] ran(CallerOperation operation, ByteString answer, boolean replayed) {
        return write(json -> {
            json.writeStringField("requestId", operation.requestId().value());
            json.writeStringField("service", operation.service().toString());
            json.writeStringField("outcome", "ran");
            json.writeBooleanField("replayed", replayed);
            writePayload(json, "answer", answer);
        });
    }

    static byte[] outcome(String requestId, Claim claim, String outcome) {
        return write(json -> {
            json.writeStringField("requestId", requestId);
            json.writeStringField("service", claim.getService());
            json.writeStringField("outcome", outcome);
            json.writeNumberField("claimedAtMs", claim.getAtMillis());
            if (!claim.getReason().isEmpty()) {
                json.writeStringField("reason", claim.getReason());
            }
            if (!claim.getAnswer().isEmpty()) {
                writePayload(json, "answer", claim.getAnswer());
            }
        });
    }

    static byte[] refusal(Refusal refusal, Optional<String> requestId, ImmutableList<ValidationError> errors) {
        return write(json -> {
            if (requestId.isPresent()) {
                json.writeStringField("requestId", requestId.get());
            }
            json.writeObjectFieldStart("refusal");
            json.writeStringField("code", refusal.kind().code());
            json.writeStringField("message", refusal.message());
            boolean notRun = refusal.kind().runState() == RunState.NOT_RUN;
            json.writeStringField("ran", notRun ? "not-run" : "may-have-run");
            json.writeBooleanField("retry", refusal.kind().isRetryable());
            if (refusal.retryAfter().isPresent()) {
                json.writeNumberField("retryAfterMs", refusal.retryAfter().get().toMillis());
            }
            json.writeEndObject();
            if (!errors.isEmpty()) {
                json.writeArrayFieldStart("faults");
                for (ValidationError error : errors) {
                    json.writeStartObject();
                    json.writeNumberField("line", error.line());
                    json.writeStringField("field", error.field());
                    json.writeStringField("problem", error.problem());
                    json.writeStringField("remedy", error.remedy());
                    json.writeEndObject();
                }
                json.writeEndArray();
            }
        });
    }

    static byte[] write(ObjectContent content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            content.writeTo(json);
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    private static void writePayload(JsonGenerator json, String field, ByteString payload) throws IOException {
        if (isJson(payload)) {
            json.writeFieldName(field);
            json.writeRawValue(payload.toString(StandardCharsets.UTF_8));
        } else {
            json.writeFieldName(field + "Base64");
            json.writeBinary(payload.toByteArray());
        }
    }

    private static boolean isJson(ByteString payload) {
        if (payload.isEmpty() || !payload.isValidUtf8()) {
            return false;
        }
        try (JsonParser parser = FACTORY.createParser(payload.newInput())) {
            if (parser.nextToken() == null) {
                return false;
            }
            parser.skipChildren();
            return parser.nextToken() == null;
        } catch (IOException malformed) {
            return false;
        }
    }

    /** Writes the fields of an object. */
    @FunctionalInterface
    interface ObjectContent {
        void writeTo(JsonGenerator json) throws IOException;
    }
}
