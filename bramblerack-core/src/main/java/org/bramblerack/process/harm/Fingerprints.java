package org.bramblerack.process.harm;

import com.google.common.collect.ImmutableList;

/**
 * The fingerprints of one request, the narrowest first: of the whole target, and of the target without the query.
 *
 * <p>Some callers vary the query of the same request, while for others the query alone distinguishes requests. Both
 * fingerprints are tracked, and their outcomes show which one identifies a harmful request. Immutable and safe for use
 * by many threads.
 *
 * @param exact the fingerprint with the whole target
 * @param path the fingerprint with the path alone; the same as {@code exact} if the target has no query
 */
public record Fingerprints(Fingerprint exact, Fingerprint path) {
    /** Returns the fingerprints of a request; see {@link Fingerprint#of} for the parameters. */
    public static Fingerprints of(String method, String authority, String target, String credentials, byte[] body) {
        Fingerprint exact = Fingerprint.of(method, authority, target, credentials, body);
        String path = Fingerprint.pathOf(target);
        boolean isWhole = path.length() == target.length();
        return new Fingerprints(exact, isWhole ? exact : Fingerprint.of(method, authority, path, credentials, body));
    }

    /** Returns the distinct fingerprints, the narrowest first. */
    public ImmutableList<Fingerprint> all() {
        return exact.equals(path) ? ImmutableList.of(exact) : ImmutableList.of(exact, path);
    }
}
