package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.KeyDigest;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the identity of callers by the credentials that they present. */
final class CallerCheckTest {
    private static final Team TEAM = team("a", "key-1", "key-2");
    private static final Teams TEAMS = Teams.of(List.of(TEAM, team("b", "key-3")));
    private static final Route PRIVATE = route(false, HomeRegions.of(List.of("r1", "r2")));
    private static final Route PUBLIC = route(true, HomeRegions.ANY);

    @ParameterizedTest
    @ValueSource(strings = {"Token key-1", "token key-2", "TOKEN   key-1", " Token\tkey-1 "})
    void aKeyIdentifiesItsTeam(String credentials) {
        assertThat(CallerCheck.check(TEAMS, PRIVATE, List.of(credentials)))
                .isEqualTo(new CallerCheck.Result.Known(new CallerIdentity(Optional.of(TEAM))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"Token KEY-1", "Token key-1,", "Token key-1 key-2", "Token", "Token ", "Tokenkey-1", "key-1", ""
            })
    void malformedOrUnknownKeysAreRejected(String credentials) {
        assertThat(CallerCheck.check(TEAMS, PRIVATE, List.of(credentials)))
                .isInstanceOf(CallerCheck.Result.Unknown.class);
    }

    @Test
    void missingRepeatedOrForeignCredentialsAreRejected() {
        assertThat(CallerCheck.check(TEAMS, PRIVATE, List.of()))
                .isEqualTo(new CallerCheck.Result.Unknown(CallerCheck.PresentedCredentials.NOTHING));
        assertThat(CallerCheck.check(TEAMS, PRIVATE, List.of("Token key-1", "Token key-3")))
                .isEqualTo(new CallerCheck.Result.Unknown(CallerCheck.PresentedCredentials.SEVERAL));
        assertThat(CallerCheck.check(TEAMS, PRIVATE, List.of("Basic eA==")))
                .isEqualTo(new CallerCheck.Result.Unknown(CallerCheck.PresentedCredentials.NO_KEY));
    }

    @Test
    void noKeyIsRequiredWithoutTeams() {
        assertThat(CallerCheck.check(Teams.NONE, PRIVATE, List.of("Token key-1")))
                .isEqualTo(new CallerCheck.Result.Known(CallerIdentity.ANONYMOUS));
    }

    @Test
    void aPublicRouteAcceptsAnyCallerAndStillIdentifiesTheTeam() {
        assertThat(CallerCheck.check(TEAMS, PUBLIC, List.of()))
                .isEqualTo(new CallerCheck.Result.Known(CallerIdentity.ANONYMOUS));
        assertThat(CallerCheck.check(TEAMS, PUBLIC, List.of("Token nobody")))
                .isEqualTo(new CallerCheck.Result.Known(CallerIdentity.ANONYMOUS));
        assertThat(CallerCheck.check(TEAMS, PUBLIC, List.of("Token key-2")))
                .isEqualTo(new CallerCheck.Result.Known(new CallerIdentity(Optional.of(TEAM))));
    }

    /** Guards against resolving a key by another version than the one given. */
    @Test
    void aKeyThatMovesIdentifiesTheTeamOfTheVersionInForce() {
        Teams after = Teams.of(List.of(team("a", "key-1"), team("b", "key-2", "key-3")));
        assertThat(teamNameFor(TEAMS, "Token key-2")).isEqualTo("a");
        assertThat(teamNameFor(after, "Token key-2")).isEqualTo("b");
    }

    @Test
    void regionsIntersectAndTheTeamsPriorityOverridesTheRoutes() {
        CallerIdentity caller = new CallerIdentity(Optional.of(new Team(
                "a", ImmutableSet.of(), OptionalInt.of(0), RateLimit.NONE, HomeRegions.of(List.of("r2", "r3")))));
        assertThat(caller.homes(PRIVATE)).isEqualTo(HomeRegions.of(List.of("r2")));
        assertThat(caller.homes(route(false, HomeRegions.of(List.of("r1")))).allowsNone())
                .isTrue();
        assertThat(caller.homes(PUBLIC)).isEqualTo(HomeRegions.of(List.of("r2", "r3")));
        assertThat(caller.priority(PRIVATE)).isEqualTo(0);
        assertThat(new CallerIdentity(Optional.of(TEAM)).priority(PRIVATE)).isEqualTo(7);
    }

    /** The case of the scheme and surrounding whitespace are ignored; the key itself is compared exactly. */
    @Property(tries = 500)
    void schemeCaseAndWhitespaceDoNotMatter(
            @ForAll @CharRange(from = '!', to = '~') @StringLength(min = 1, max = 40) String key,
            @ForAll @CharRange(from = '!', to = '~') @StringLength(min = 1, max = 40) String other,
            @ForAll @IntRange(max = 31) int caseBits,
            @ForAll @IntRange(min = 1, max = 3) int blanks) {
        Teams teams = Teams.of(List.of(team("a", key)));
        StringBuilder credentials = new StringBuilder();
        for (int letter = 0; letter < CallerCheck.SCHEME.length(); letter++) {
            char character = CallerCheck.SCHEME.charAt(letter);
            credentials.append(
                    (caseBits >> letter) % 2 == 0
                            ? Character.toLowerCase(character)
                            : Character.toUpperCase(character));
        }
        credentials.append(" ".repeat(blanks));
        assertThat(teamNameFor(teams, credentials + key + " ".repeat(blanks))).isEqualTo("a");
        assertThat(teamNameFor(teams, credentials + other)).isEqualTo(other.equals(key) ? "a" : "");
    }

    @Property(tries = 500)
    void arbitraryCredentialsAreRejectedWithoutError(
            @ForAll List<@AlphaChars @CharRange(from = '\0', to = ' ') String> credentials) {
        assertThat(CallerCheck.check(TEAMS, PRIVATE, credentials)).isInstanceOf(CallerCheck.Result.Unknown.class);
    }

    private static String teamNameFor(Teams teams, String credentials) {
        return CallerCheck.check(teams, PRIVATE, List.of(credentials)) instanceof CallerCheck.Result.Known known
                ? known.caller().teamName()
                : "";
    }

    private static Team team(String name, String... keys) {
        ImmutableSet.Builder<KeyDigest> digests = ImmutableSet.builder();
        for (String key : keys) {
            digests.add(KeyDigest.of(key));
        }
        return new Team(name, digests.build(), OptionalInt.empty(), RateLimit.NONE, HomeRegions.ANY);
    }

    private static Route route(boolean isPublic, HomeRegions homes) {
        Duration time = Duration.ofSeconds(1);
        return new Route(
                "r", "h", "/", RequestKind.IDEMPOTENT, time, time, 7, 1, new RouteTarget.Single("s"), homes, isPublic);
    }
}
