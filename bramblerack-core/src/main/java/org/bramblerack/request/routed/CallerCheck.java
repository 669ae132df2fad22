package org.bramblerack.request.routed;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Locale;
import java.util.Optional;
import org.bramblerack.version.routing.KeyDigest;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;

/**
 * Decides in whose name a request is made, by the key that its caller shows.
 *
 * <p>A key that is not known is refused for good only by a host that hears a leader: one that does not may have missed
 * the version that added the key. Stateless and safe for use by many threads.
 */
public final class CallerCheck {
    private static final String SCHEME = "token ";

    private CallerCheck() {}

    /** What is decided about a caller. */
    public sealed interface Result {
        /** The request is made in this name. */
        record Known(CallerIdentity caller) implements Result {}

        /** The request is refused. */
        record Refused(RefusalReason reason) implements Result {}
    }

    /**
     * Decides about a caller.
     *
     * @param credentials what the caller shows, empty if nothing
     * @param current true if this host hears a leader, so that it knows the version in force
     */
    public static Result check(Teams teams, Route route, Optional<String> credentials, boolean current) {
        checkArgument(credentials != null, "no credentials are given as empty");
        if (teams.isEmpty() || route.isPublic()) {
            return new Result.Known(CallerIdentity.ANONYMOUS);
        }
        Optional<Team> team = credentials.flatMap(CallerCheck::key).flatMap(teams::withKey);
        if (team.isPresent()) {
            return new Result.Known(new CallerIdentity(team));
        }
        return new Result.Refused(current ? RefusalReason.UNKNOWN_KEY : RefusalReason.KEY_UNDECIDED);
    }

    private static Optional<KeyDigest> key(String credentials) {
        String trimmed = credentials.trim();
        if (!trimmed.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            return Optional.empty();
        }
        return Optional.of(KeyDigest.of(trimmed.substring(SCHEME.length()).trim()));
    }
}
