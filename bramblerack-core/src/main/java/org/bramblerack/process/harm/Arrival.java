package org.bramblerack.process.harm;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * One attempt of a caller at a request, the same on every host that processes a part of it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param fingerprints identify the request
 * @param digest distinguishes the attempt from other attempts
 */
public record Arrival(Fingerprints fingerprints, long digest) {
    /** Returns the arrival of a request with the request id that its caller gave to the attempt. */
    public static Arrival of(Fingerprints fingerprints, String requestId) {
        return new Arrival(
                fingerprints,
                Hashing.sha256().hashString(requestId, StandardCharsets.UTF_8).asLong());
    }
}
