package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Pattern;

/**
 * The identifier of a request, chosen by its caller.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and the characters {@code . _ : -}
 */
public record RequestId(String value) {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    /** Creates an identifier; throws if the value is malformed. */
    public RequestId {
        checkArgument(isValid(value), "bad request identifier: %s", value);
    }

    /** Returns true if the text is a well-formed request identifier. */
    public static boolean isValid(String text) {
        return PATTERN.matcher(text).matches();
    }

    @Override
    public String toString() {
        return value;
    }
}
