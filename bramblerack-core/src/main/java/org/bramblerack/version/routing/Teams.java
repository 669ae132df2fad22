package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The teams of one version of the routing configuration.
 *
 * <p>Invariants: no two teams share a name or a key. Immutable and safe for use by many threads.
 */
public final class Teams {
    /** No teams: callers need no keys. */
    public static final Teams NONE = new Teams(ImmutableMap.of(), ImmutableMap.of());

    private final ImmutableMap<String, Team> byName;
    private final ImmutableMap<KeyDigest, Team> byKey;

    private Teams(ImmutableMap<String, Team> byName, ImmutableMap<KeyDigest, Team> byKey) {
        this.byName = byName;
        this.byKey = byKey;
    }

    /**
     * Creates the teams of a configuration.
     *
     * @throws IllegalArgumentException if two teams share a name or a key
     */
    public static Teams of(Collection<Team> teams) {
        Map<String, Team> byName = new HashMap<>();
        Map<KeyDigest, Team> byKey = new HashMap<>();
        for (Team team : teams) {
            checkArgument(byName.put(team.name(), team) == null, "two teams are named %s; rename one", team.name());
            for (KeyDigest key : team.keys()) {
                Team other = byKey.put(key, team);
                checkArgument(
                        other == null,
                        "the teams %s and %s share a key; give each its own",
                        other == null ? "" : other.name(),
                        team.name());
            }
        }
        return new Teams(ImmutableMap.copyOf(byName), ImmutableMap.copyOf(byKey));
    }

    /** Returns true if there are no teams, so that callers need no keys. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns all teams, in no particular order. */
    public ImmutableCollection<Team> all() {
        return byName.values();
    }

    /** Returns the team that owns the key, if any. */
    public Optional<Team> withKey(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns the team with the given name, if any. */
    public Optional<Team> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}
