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

/** In whose name requests are made, by what callers show. */
final class CallerCheckTest {
    private static final Team TEAM = team("a", "key-1", "key-2");
    private static final Teams TEAMS = Teams.of(List.of(TEAM, team("b", "key-3")));
    private static final Route CLOSED = route(false, HomeRegions.of(List.of("r1", "r2")));
    private static final Route PUBLIC = route(true, HomeRegions.ANY);

    @ParameterizedTest
    @ValueSource(strings = {"Token key-1", "token key-2", "TOKEN   key-1", " Token\tkey-1 "})
    void aKeyNamesItsTeam(String credentials) {
        assertThat(CallerCheck.check(TEAMS, CLOSED, List.of(credentials)))
                .isEqualTo(new CallerCheck.Result.Known(new CallerIdentity(Optional.of(TEAM))));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"Token KEY-1", "Token key-1,", "Token key-1 key-2", "Token", "Token ", "Tokenkey-1", "key-1", ""
            })
    void whatIsNotExactlyAKeyNamesNone(String credentials) {
        assertThat(CallerCheck.check(TEAMS, CLOSED, List.of(credentials)))
                .isInstanceOf(CallerCheck.Result.Unknown.class);
    }

    @Test
    void aCallerThatShowsNothingOrCredentialsTwiceIsNotKnown() {
        assertThat(CallerCheck.check(TEAMS, CLOSED, List.of()))
                .isEqualTo(new CallerCheck.Result.Unknown(CallerCheck.PresentedCredentials.NOTHING));
        assertThat(CallerCheck.check(TEAMS, CLOSED, List.of("Token key-1", "Token key-3")))
                .isEqualTo(new CallerCheck.Result.Unknown(CallerCheck.PresentedCredentials.SEVERAL));
        assertThat(CallerCheck.check(TEAMS, CLOSED, List.of("Basic eA==")))
                .isEqualTo(new CallerCheck.Result.Unknown(CallerCheck.PresentedCredentials.NO_KEY));
    }

    @Test
    void withoutTeamsNobodyNeedsAKey() {
        assertThat(CallerCheck.check(Teams.NONE, CLOSED, List.of("Token key-1")))
                .isEqualTo(new CallerCheck.Result.Known(CallerIdentity.ANONYMOUS));
    }

    @Test
    void aPublicRouteTakesEverybodyAndStillNamesTheTeamOfAKey() {
        assertThat(CallerCheck.check(TEAMS, PUBLIC, List.of()))
                .isEqualTo(new CallerCheck.Result.Known(CallerIdentity.ANONYMOUS));
        assertThat(CallerCheck.check(TEAMS, PUBLIC, List.of("Token nobody")))
                .isEqualTo(new CallerCheck.Result.Known(CallerIdentity.ANONYMOUS));
        assertThat(CallerCheck.check(TEAMS, PUBLIC, List.of("Token key-2")))
                .isEqualTo(new CallerCheck.Result.Known(new CallerIdentity(Optional.of(TEAM))));
    }

    /** Whoever holds a key by either of two versions may be served while it moves; nobody else. */
    @Test
    void aKeyThatMovesNamesItsOwnerByTheVersionInForce() {
        Teams after = Teams.of(List.of(team("a", "key-1"), team("b", "key-2", "key-3")));
        assertThat(nameBy(TEAMS, "Token key-2")).isEqualTo("a");
        assertThat(nameBy(after, "Token key-2")).isEqualTo("b");
    }

    @Test
    void theHomesOfTeamAndRouteBindTogetherAndTheRankOfTheTeamGoesFirst() {
        CallerIdentity caller = new CallerIdentity(Optional.of(new Team(
                "a", ImmutableSet.of(), OptionalInt.of(0), RateLimit.NONE, HomeRegions.of(List.of("r2", "r3")))));
        assertThat(caller.homeRegions(CLOSED)).isEqualTo(HomeRegions.of(List.of("r2")));
        assertThat(caller.homeRegions(route(false, HomeRegions.of(List.of("r1"))))
                        .allowsNone())
                .isTrue();
        assertThat(caller.homeRegions(PUBLIC)).isEqualTo(HomeRegions.of(List.of("r2", "r3")));
        assertThat(caller.priority(CLOSED)).isEqualTo(0);
        assertThat(new CallerIdentity(Optional.of(TEAM)).priority(CLOSED)).isEqualTo(7);
    }

    /** Case of the scheme and white space around the key do not matter; everything in the key does. */
    @Property(tries = 500)
    void aKeyIsFoundHoweverItIsShown(
            @ForAll @CharRange(from = '!', to = '~') @StringLength(min = 1, max = 40) String key,
            @ForAll @CharRange(from = '!', to = '~') @StringLength(min = 1, max = 40) String other,
            @ForAll @IntRange(max = 31) int cases,
            @ForAll @IntRange(min = 1, max = 3) int blanks) {
        Teams teams = Teams.of(List.of(team("a", key)));
        StringBuilder shown = new StringBuilder();
        for (int letter = 0; letter < CallerCheck.SCHEME.length(); letter++) {
            char written = CallerCheck.SCHEME.charAt(letter);
            shown.append((cases >> letter) % 2 == 0 ? Character.toLowerCase(written) : Character.toUpperCase(written));
        }
        shown.append(" ".repeat(blanks));
        assertThat(nameBy(teams, shown + key + " ".repeat(blanks))).isEqualTo("a");
        assertThat(nameBy(teams, shown + other)).isEqualTo(other.equals(key) ? "a" : "");
    }

    /** Whatever is shown, a caller is known by a key of the teams or not at all, and nothing fails. */
    @Property(tries = 500)
    void anyCredentialsAreDecided(@ForAll List<@AlphaChars @CharRange(from = '\0', to = ' ') String> credentials) {
        assertThat(CallerCheck.check(TEAMS, CLOSED, credentials)).isInstanceOf(CallerCheck.Result.Unknown.class);
    }

    private static String nameBy(Teams teams, String credentials) {
        return CallerCheck.check(teams, CLOSED, List.of(credentials)) instanceof CallerCheck.Result.Known known
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
