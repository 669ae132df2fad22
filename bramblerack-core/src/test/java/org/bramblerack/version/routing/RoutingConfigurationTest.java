package org.bramblerack.version.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RoutingConfigurationTest {
    private static final ImmutableMap<String, LeafService> SERVICES =
            ImmutableMap.of("s", new LeafService("s", "/health", 5), "t", new LeafService("t", "/health", 5));

    @Test
    void theLongestMatchingPrefixWins() {
        RoutingConfiguration configuration = configuration(
                route("short", "h.example", "/a/", "s"),
                route("long", "h.example", "/a/b/", "s"),
                route("other", "i.example", "/a/b/c/", "s"));
        assertThat(name(configuration.find("h.example", "/a/x"))).isEqualTo("short");
        assertThat(name(configuration.find("h.example", "/a/b/x"))).isEqualTo("long");
        assertThat(name(configuration.find("h.example", "/a/b/c/x"))).isEqualTo("long");
        assertThat(name(configuration.find("h.example", "/a/bc"))).isEqualTo("short");
        assertThat(name(configuration.find("h.example", "/a/"))).isEqualTo("short");
    }

    @Test
    void aRootRouteMatchesEveryPath() {
        RoutingConfiguration configuration = configuration(route("root", "h.example", "/", "s"));
        assertThat(name(configuration.find("h.example", "/"))).isEqualTo("root");
        assertThat(name(configuration.find("h.example", "/deep/er"))).isEqualTo("root");
    }

    @Test
    void aPathOutsideOfEveryPrefixMatchesNoRoute() {
        RoutingConfiguration configuration = configuration(route("r", "h.example", "/a/", "s"));
        assertThat(configuration.find("h.example", "/b/")).isEqualTo(Optional.empty());
        assertThat(configuration.find("h.example", "/a")).isEqualTo(Optional.empty());
        assertThat(configuration.find("elsewhere.example", "/a/")).isEqualTo(Optional.empty());
        assertThat(configuration.find("h.example", "")).isEqualTo(Optional.empty());
    }

    @Test
    void hostNamesMatchRegardlessOfCaseAndPort() {
        RoutingConfiguration configuration = configuration(route("r", "H.Example", "/a/", "s"));
        assertThat(name(configuration.find("h.example:8080", "/a/"))).isEqualTo("r");
    }

    @Test
    void aRouteToAnUnknownServiceIsRejected() {
        IllegalArgumentException fault =
                assertThrows(IllegalArgumentException.class, () -> configuration(route("r", "h", "/a/", "unknown")));
        assertThat(fault).hasMessageThat().contains("add it there");
    }

    @Test
    void twoRoutesOfTheSameHostAndPrefixAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> configuration(route("r", "h", "/a/", "s"), route("q", "h", "/a/", "t")));
    }

    @Test
    void invalidRoutesAndTargetsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> route("r", "h", "a", "s"));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Route(
                        "r",
                        "h",
                        "/a/",
                        RequestKind.IDEMPOTENT,
                        Duration.ZERO,
                        Duration.ZERO,
                        0,
                        1,
                        new RouteTarget.Single("s")));
        assertThrows(
                IllegalArgumentException.class,
                () -> new RouteTarget.Split(ImmutableList.of(new RouteTarget.Share("s", 0))));
        assertThrows(IllegalArgumentException.class, () -> new RouteTarget.Scatter(ImmutableList.of("s", "s"), 1, 0.5));
    }

    private static RoutingConfiguration configuration(Route... routes) {
        return RoutingConfiguration.create(1, ImmutableList.copyOf(routes), SERVICES, RequestLimits.DEFAULT);
    }

    private static Route route(String name, String host, String prefix, String service) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                0,
                2,
                new RouteTarget.Single(service));
    }

    private static String name(Optional<Route> route) {
        return route.map(Route::name).orElse("none");
    }
}
