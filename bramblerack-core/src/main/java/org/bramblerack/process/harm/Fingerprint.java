package org.bramblerack.process.harm;

import static java.util.Objects.requireNonNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Bytes;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * A digest of a request and its caller's credentials, equal for all attempts at the same request.
 *
 * <p>Different requests have the same fingerprint with a probability of 2^-128, even if an attacker searches for such a
 * pair. Immutable and safe for use by many threads.
 *
 * @param high the first eight bytes
 * @param low the last eight bytes
 */
public record Fingerprint(long high, long low) {
    private static final char QUERY_SEPARATOR = '?';

    /**
     * Returns the fingerprint of a request.
     *
     * @param method the HTTP method
     * @param authority the authority as given by the caller
     * @param target the request target, with the query
     * @param credentials the caller's credentials, empty if there are none
     * @param body the request body
     */
    public static Fingerprint of(String method, String authority, String target, String credentials, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (String part : List.of(method, authority, target, credentials)) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            hasher.putInt(bytes.length).putBytes(bytes);
        }
        byte[] digest = hasher.putBytes(requireNonNull(body)).hash().asBytes();
        return new Fingerprint(
                Longs.fromByteArray(digest),
                Longs.fromBytes(
                        digest[8], digest[9], digest[10], digest[11], digest[12], digest[13], digest[14], digest[15]));
    }

    /** Returns the fingerprint in a message, or empty if its length is wrong. */
    public static Optional<Fingerprint> fromBytes(ByteString bytes) {
        if (bytes.size() != 2 * Long.BYTES) {
            return Optional.empty();
        }
        ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
        return Optional.of(new Fingerprint(buffer.getLong(), buffer.getLong()));
    }

    public ByteString toBytes() {
        return ByteString.copyFrom(Bytes.concat(Longs.toByteArray(high), Longs.toByteArray(low)));
    }

    static String pathOf(String target) {
        int query = target.indexOf(QUERY_SEPARATOR);
        int end = query < 0 ? target.length() : query;
        return target.substring(0, end);
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
