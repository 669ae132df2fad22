package org.bramblerack.daemon.leaf;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.bramblerack.process.leaf.LeafLoad;
import org.bramblerack.process.leaf.LeafOutcome;

/**
 * A whole answer of a leaf.
 *
 * @param status its status
 * @param headers its header fields
 * @param body its body
 * @param outcome what it means for the request
 * @param signature what the leaf signed it with, if it did
 * @param load the load that the leaf told, if it did
 */
public record LeafAnswer(
        int status,
        HttpHeaders headers,
        ByteString body,
        LeafOutcome outcome,
        Optional<String> signature,
        Optional<LeafLoad> load) {
    private static final int OK = 200;
    private static final int LEAST_REDIRECT = 300;
    private static final int MISDIRECTED = 421;
    private static final int LEAST_SERVER_FAILURE = 500;
    private static final int TIME_UP = 504;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final String CONTENT_ENCODING = "content-encoding";

    /** Creates an answer and decides what it means. */
    public static LeafAnswer of(int status, HttpHeaders headers, ByteString body, CallHeaders names) {
        Optional<String> signature = Optional.ofNullable(headers.get(names.signature()));
        Optional<LeafLoad> load = Optional.ofNullable(headers.get(names.load())).flatMap(LeafLoad::parse);
        return new LeafAnswer(status, headers, body, outcomeOf(status, headers, signature, names), signature, load);
    }

    /** Returns true if a caller may be given it as it is. */
    public boolean mayBeForwarded() {
        return signature.isPresent() && (outcome == LeafOutcome.SUCCEEDED || outcome == LeafOutcome.FAILED);
    }

    /**
     * Returns true if the leaf has run the request and outlived it. One that says that its time was up may still be at
     * work on it.
     */
    public boolean showsSurvival() {
        return status != TIME_UP && (outcome == LeafOutcome.SUCCEEDED || outcome == LeafOutcome.FAILED);
    }

    private static LeafOutcome outcomeOf(
            int status, HttpHeaders headers, Optional<String> signature, CallHeaders names) {
        if (status == MISDIRECTED) {
            return LeafOutcome.REFUSED_GONE;
        }
        boolean notRun = headers.contains(names.notRun());
        if (notRun && (status == UNAVAILABLE || status == TOO_MANY_REQUESTS)) {
            return LeafOutcome.REFUSED_BUSY;
        }
        if (status >= LEAST_SERVER_FAILURE || notRun) {
            return LeafOutcome.FAILED;
        }
        boolean success = status >= OK && status < LEAST_REDIRECT;
        if (success && (signature.isEmpty() || headers.contains(CONTENT_ENCODING))) {
            return LeafOutcome.GARBLED;
        }
        return LeafOutcome.SUCCEEDED;
    }
}
