package org.bramblerack.version.routing;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The SHA-256 digest of a team's key. Keys are stored and compared only as digests once a configuration has been read.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class KeyDigest {
    private final HashCode digest;

    private KeyDigest(HashCode digest) {
        this.digest = digest;
    }

    /** Computes the digest of a key. */
    public static KeyDigest of(String key) {
        return new KeyDigest(Hashing.sha256().hashString(key, StandardCharsets.UTF_8));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that && digest.equals(that.digest);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    /** Returns a constant, so that logs do not reveal the key. */
    @Override
    public String toString() {
        return "key";
    }
}
