package org.bramblerack.request.routed;

import java.util.List;
import java.util.Optional;
import org.bramblerack.version.routing.KeyDigest;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;

/**
 * Identifies the team of a caller by the key that the caller presents.
 *
 * <p>A key that is unknown here may have been added in a newer configuration version. Before rejecting the caller,
 * users of this class must verify that the version is the newest. Stateless and safe for use by many threads.
 */
public final class CallerCheck {
    /** The authentication scheme that precedes a key; its case is ignored. */
    public static final String SCHEME = "Token";

    private CallerCheck() {}

    /** The result of a check. */
    public sealed interface Result {
        /** The caller is identified, or needs no key. */
        record Known(CallerIdentity caller) implements Result {}

        /** The caller needs a key and presented no known one. */
        record Unknown(PresentedCredentials presented) implements Result {}
    }

    /** The kind of credentials that a caller presents. */
    public enum PresentedCredentials {
        NOTHING,
        /** Credentials of another scheme. */
        NO_KEY,
        /** More than one credential, so that the identity is ambiguous. */
        SEVERAL,
        A_KEY
    }

    /**
     * Checks the credentials of a caller.
     *
     * @param credentials all values that the caller presented as credentials
     */
    public static Result check(Teams teams, Route route, List<String> credentials) {
        if (teams.isEmpty()) {
            return new Result.Known(CallerIdentity.ANONYMOUS);
        }
        PresentedCredentials presented = classify(credentials);
        Optional<Team> team = presented == PresentedCredentials.A_KEY
                ? parseKey(credentials.get(0)).flatMap(teams::withKey)
                : Optional.empty();
        return team.isPresent() || route.isPublic()
                ? new Result.Known(new CallerIdentity(team))
                : new Result.Unknown(presented);
    }

    /** Returns true if credentials have the form of a key, whether or not it is known. */
    public static boolean mayContainKey(String credentials) {
        return parseKey(credentials).isPresent();
    }

    private static PresentedCredentials classify(List<String> credentials) {
        if (credentials.isEmpty()) {
            return PresentedCredentials.NOTHING;
        }
        if (credentials.size() > 1) {
            return PresentedCredentials.SEVERAL;
        }
        return mayContainKey(credentials.get(0)) ? PresentedCredentials.A_KEY : PresentedCredentials.NO_KEY;
    }

    private static Optional<KeyDigest> parseKey(String credentials) {
        String trimmed = credentials.strip();
        int end = SCHEME.length();
        boolean hasScheme = trimmed.regionMatches(true, 0, SCHEME, 0, end)
                && trimmed.length() > end
                && Character.isWhitespace(trimmed.charAt(end));
        return hasScheme ? Optional.of(KeyDigest.of(trimmed.substring(end).strip())) : Optional.empty();
    }
}
