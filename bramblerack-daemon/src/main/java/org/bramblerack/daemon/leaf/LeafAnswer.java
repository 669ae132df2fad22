package org.bramblerack.daemon.leaf;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.bramblerack.process.leaf.LeafLoad;
import org.bramblerack.process.leaf.LeafOutcome;

/**
 * A complete answer of a leaf.
 *
 * @param status the HTTP status code
 * @param headers the header fields
 * @param body the body
 * @param outcome the outcome of the request, the only judgement of the answer: all that count, merge or forward answers
 *     decide by it
 * @param signature the leaf's signature, if it is present and valid
 * @param load the leaf's reported load, if present
 */
public record LeafAnswer(
        int status,
        HttpHeaders headers,
        ByteString body,
        LeafOutcome outcome,
        Optional<String> signature,
        Optional<LeafLoad> load) {
    private static final int OK = 200;
    private static final int PARTIAL_CONTENT = 206;
    private static final int MIN_REDIRECT = 300;
    private static final int MISDIRECTED = 421;
    private static final int MIN_SERVER_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final String CONTENT_ENCODING = "content-encoding";

    /** Creates an answer and derives its outcome from the status and headers. */
    public static LeafAnswer of(
            int status, HttpHeaders headers, ByteString body, AnswerKind kind, CallHeaders headerNames) {
        Optional<String> signature = AnswerSignature.in(headers, headerNames);
        Optional<LeafLoad> load =
                Optional.ofNullable(headers.get(headerNames.load())).flatMap(LeafLoad::parse);
        LeafOutcome outcome = outcomeOf(status, headers, signature, kind, headerNames);
        return new LeafAnswer(status, headers, body, outcome, signature, load);
    }

    /** Creates the answer to a query's call that another host made, of which it returned only these. */
    public static LeafAnswer part(String signature, ByteString records) {
        boolean valid = AnswerSignature.isValid(signature);
        return new LeafAnswer(
                OK,
                EmptyHttpHeaders.INSTANCE,
                records,
                valid ? LeafOutcome.SUCCEEDED : LeafOutcome.GARBLED,
                valid ? Optional.of(signature) : Optional.empty(),
                Optional.empty());
    }

    /** Returns true if the answer may be forwarded to the caller unchanged. */
    public boolean mayBeForwarded() {
        return signature.isPresent() && (outcome == LeafOutcome.SUCCEEDED || outcome == LeafOutcome.FAILED);
    }

    /**
     * Returns true if the leaf ran the request to its end and survived. After a gateway timeout it may still be running
     * the request.
     */
    public boolean showsSurvival() {
        return status != GATEWAY_TIMEOUT && outcome.showsSurvival();
    }

    private static LeafOutcome outcomeOf(
            int status, HttpHeaders headers, Optional<String> signature, AnswerKind kind, CallHeaders headerNames) {
        if (status == MISDIRECTED) {
            return LeafOutcome.REFUSED_GONE;
        }
        boolean notRun = headers.contains(headerNames.notRun());
        if (notRun && (status == UNAVAILABLE || status == TOO_MANY_REQUESTS)) {
            return LeafOutcome.REFUSED_BUSY;
        }
        if (status >= MIN_SERVER_ERROR || notRun) {
            return LeafOutcome.FAILED;
        }
        if (signature.isEmpty()) {
            return LeafOutcome.GARBLED;
        }
        if (status >= MIN_REDIRECT) {
            return kind == AnswerKind.PART ? LeafOutcome.REJECTED : LeafOutcome.SUCCEEDED;
        }
        boolean partialBody = kind == AnswerKind.PART && status == PARTIAL_CONTENT;
        return partialBody || headers.contains(CONTENT_ENCODING) ? LeafOutcome.GARBLED : LeafOutcome.SUCCEEDED;
    }
}
