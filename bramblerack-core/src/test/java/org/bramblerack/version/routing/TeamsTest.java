package org.bramblerack.version.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class TeamsTest {
    @Test
    void namesAndKeysAreUnique() {
        assertThrows(IllegalArgumentException.class, () -> Teams.of(List.of(team("a", "k"), team("a", "l"))));
        IllegalArgumentException shared = assertThrows(
                IllegalArgumentException.class, () -> Teams.of(List.of(team("a", "kkk"), team("b", "kkk"))));
        assertThat(shared).hasMessageThat().doesNotContain("kkk");
        assertThat(Teams.of(List.of(team("a", "k"), team("b", "l"))).all()).hasSize(2);
    }

    @Test
    void keysAreComparedByDigestAndNotPrinted() {
        assertThat(KeyDigest.of("secret")).isEqualTo(KeyDigest.of("secret"));
        assertThat(KeyDigest.of("secret")).isNotEqualTo(KeyDigest.of("Secret"));
        assertThat(team("a", "secret").toString()).doesNotContain("secret");
    }

    private static Team team(String name, String key) {
        return new Team(name, ImmutableSet.of(KeyDigest.of(key)), OptionalInt.empty(), RateLimit.NONE, HomeRegions.ANY);
    }
}
