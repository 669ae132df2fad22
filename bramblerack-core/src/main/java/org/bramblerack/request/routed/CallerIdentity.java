package org.bramblerack.request.routed;

import java.util.Optional;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.Team;

/**
 * The identity of a request's caller, determined once when the request arrives.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param team the team whose key the caller presented; empty for an anonymous caller
 */
public record CallerIdentity(Optional<Team> team) {
    /** A caller without a key of a team. */
    public static final CallerIdentity ANONYMOUS = new CallerIdentity(Optional.empty());

    /** Returns the priority of a request on a route; 0 is the highest. */
    public int priority(Route route) {
        return team.isPresent() ? team.get().priority().orElse(route.priority()) : route.priority();
    }

    /** Returns the regions that may serve a request on a route. */
    public HomeRegions homes(Route route) {
        return team.map(known -> known.homes().intersect(route.homes())).orElse(route.homes());
    }

    /** Returns the name of the team, or the empty string if there is none. */
    public String teamName() {
        return team.map(Team::name).orElse("");
    }
}
