package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Pattern;

/**
 * The identifier that a caller gives to a request.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param value 1 to 128 letters, digits and the signs {@code . _ : -}
 */
public record RequestId(String value) {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    /** Refuses a value of another form. */
    public RequestId {
        checkArgument(isValid(value), "bad request identifier: %s", value);
    }

    /** Returns true if the text is a request identifier. */
    public static boolean isValid(String text) {
        return PATTERN.matcher(text).matches();
    }

    @Override
    public String toString() {
        return value;
    }
}
