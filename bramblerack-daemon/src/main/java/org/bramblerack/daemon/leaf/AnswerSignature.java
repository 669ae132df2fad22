package org.bramblerack.daemon.leaf;

import com.google.common.base.CharMatcher;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;

/**
 * Reads the signature of a leaf's answer.
 *
 * <p>A valid signature is a single header field of visible ASCII characters. It contains no comma, since the signatures
 * of the parts of an answer are joined by commas.
 */
final class AnswerSignature {
    private static final int MAX_LENGTH = 256;
    private static final CharMatcher PERMITTED =
            CharMatcher.inRange('!', '~').and(CharMatcher.isNot(',')).precomputed();

    private AnswerSignature() {}

    /** Returns the signature in a header; empty if it is absent, repeated or malformed. */
    static Optional<String> in(HttpHeaders headers, CallHeaders names) {
        List<String> fields = headers.getAll(names.signature());
        return fields.size() == 1 && isValid(fields.get(0)) ? Optional.of(fields.get(0)) : Optional.empty();
    }

    /** Returns true if the text is a valid signature. */
    static boolean isValid(String text) {
        return !text.isEmpty() && text.length() <= MAX_LENGTH && PERMITTED.matchesAllOf(text);
    }
}
