package org.bramblerack.process.harm;

import com.google.common.collect.ImmutableList;

/**
 * The fingerprints of one request, the narrowest first: of all that it asks for, and of the same without the query.
 *
 * <p>Callers decorate the same request with changing queries, while elsewhere the query is all that tells requests
 * apart; which it is shows in what becomes of them, so both are looked at. Immutable and safe for use by many threads.
 *
 * @param exact of the whole target
 * @param path of the path alone; the same as {@code exact} if the target has no query
 */
public record Fingerprints(Fingerprint exact, Fingerprint path) {
    /** Returns the fingerprints of a request; for the parameters see {@link Fingerprint#of}. */
    public static Fingerprints of(String method, String authority, String target, String credentials, byte[] body) {
        Fingerprint exact = Fingerprint.of(method, authority, target, credentials, body);
        String path = Fingerprint.pathOf(target);
        boolean isWhole = path.length() == target.length();
        return new Fingerprints(exact, isWhole ? exact : Fingerprint.of(method, authority, path, credentials, body));
    }

    /** Returns those that differ, the narrowest first. */
    public ImmutableList<Fingerprint> all() {
        return exact.equals(path) ? ImmutableList.of(exact) : ImmutableList.of(exact, path);
    }
}
