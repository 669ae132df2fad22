package org.bramblerack.process.agreement;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Digests that identify texts and requests in the replicated state. */
public final class Digests {
    static final int SHORT_BYTES = 16;

    private Digests() {}

    /** Returns the SHA-256 of a text in UTF-8. */
    public static ByteString of(String text) {
        return ByteString.copyFrom(
                Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes());
    }

    /** Returns the SHA-256 of bytes. */
    public static ByteString of(ByteString bytes) {
        return ByteString.copyFrom(
                Hashing.sha256().hashBytes(bytes.asReadOnlyByteBuffer()).asBytes());
    }

    /** Returns the first {@value #SHORT_BYTES} bytes of the SHA-256 of a request's service and identifier. */
    static ByteString shortDigest(String service, String requestId) {
        byte[] full = Hashing.sha256()
                .hashString(service + "\n" + requestId, StandardCharsets.UTF_8)
                .asBytes();
        return ByteString.copyFrom(Arrays.copyOf(full, SHORT_BYTES));
    }
}
