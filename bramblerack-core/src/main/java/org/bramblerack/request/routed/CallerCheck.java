package org.bramblerack.request.routed;

import java.util.List;
import java.util.Optional;
import org.bramblerack.version.routing.KeyDigest;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;

/**
 * Decides in whose name a request is made, by the key that its caller shows.
 *
 * <p>That a key is of no team is true only by the newest version of the configuration, since that may have added it; so
 * it is for whoever asks to make sure of the version before the caller is told. Stateless and safe for use by many
 * threads.
 */
public final class CallerCheck {
    /** The kind of credentials that hold a key; it stands before the key, in any case. */
    public static final String SCHEME = "Token";

    private CallerCheck() {}

    /** What is decided about a caller. */
    public sealed interface Result {
        /** The request is made in this name. */
        record Known(CallerIdentity caller) implements Result {}

        /** The caller needs a key and showed none that is known. */
        record Unknown(PresentedCredentials presented) implements Result {}
    }

    /** What a caller shows. */
    public enum PresentedCredentials {
        /** Nothing. */
        NOTHING,
        /** Credentials of another kind. */
        NO_KEY,
        /** Credentials more than once, which leaves open in whose name it asks. */
        SEVERAL,
        /** A key. */
        A_KEY
    }

    /**
     * Decides about a caller.
     *
     * @param credentials every value that the caller shows as its credentials
     */
    public static Result check(Teams teams, Route route, List<String> credentials) {
        if (teams.isEmpty()) {
            return new Result.Known(CallerIdentity.ANONYMOUS);
        }
        PresentedCredentials shown = shown(credentials);
        Optional<Team> team = shown == PresentedCredentials.A_KEY
                ? key(credentials.get(0)).flatMap(teams::withKey)
                : Optional.empty();
        return team.isPresent() || route.isPublic()
                ? new Result.Known(new CallerIdentity(team))
                : new Result.Unknown(shown);
    }

    /** Returns true if credentials may hold the key of a team, whether it is known or not. */
    public static boolean mayContainKey(String credentials) {
        return key(credentials).isPresent();
    }

    private static PresentedCredentials shown(List<String> credentials) {
        if (credentials.isEmpty()) {
            return PresentedCredentials.NOTHING;
        }
        if (credentials.size() > 1) {
            return PresentedCredentials.SEVERAL;
        }
        return mayContainKey(credentials.get(0)) ? PresentedCredentials.A_KEY : PresentedCredentials.NO_KEY;
    }

    private static Optional<KeyDigest> key(String credentials) {
        String trimmed = credentials.strip();
        int end = SCHEME.length();
        boolean hasScheme = trimmed.regionMatches(true, 0, SCHEME, 0, end)
                && trimmed.length() > end
                && Character.isWhitespace(trimmed.charAt(end));
        return hasScheme ? Optional.of(KeyDigest.of(trimmed.substring(end).strip())) : Optional.empty();
    }
}
