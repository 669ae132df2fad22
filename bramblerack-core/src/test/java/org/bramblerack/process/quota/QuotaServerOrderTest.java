package org.bramblerack.process.quota;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Every host computes the same owners and backups, and a host that leaves moves only its own teams. */
final class QuotaServerOrderTest {
    private static final int HOSTS = 63;
    private static final int TEAMS = 630;

    @Test
    void theOrderOfTheHostsDoesNotMatter() {
        List<String> reversed = new ArrayList<>(hosts(HOSTS));
        Collections.reverse(reversed);
        QuotaServerOrder one = new QuotaServerOrder(hosts(HOSTS));
        QuotaServerOrder other = new QuotaServerOrder(reversed);
        for (int team = 0; team < TEAMS; team++) {
            String owner = one.ownerOf("team-" + team);
            assertThat(other.ownerOf("team-" + team)).isEqualTo(owner);
            assertThat(other.servers(owner)).isEqualTo(one.servers(owner));
        }
    }

    @Test
    void aHostThatLeavesMovesOnlyItsOwnTeams() {
        QuotaServerOrder before = new QuotaServerOrder(hosts(HOSTS));
        QuotaServerOrder after = new QuotaServerOrder(hosts(HOSTS - 1));
        Map<String, Integer> teamsByOwner = new HashMap<>();
        for (int team = 0; team < TEAMS; team++) {
            String owner = before.ownerOf("team-" + team);
            teamsByOwner.merge(owner, 1, Integer::sum);
            if (!owner.equals("host-" + (HOSTS - 1))) {
                assertThat(after.ownerOf("team-" + team)).isEqualTo(owner);
            }
        }
        assertThat(Collections.max(teamsByOwner.values())).isLessThan(4 * TEAMS / HOSTS);
    }

    private static ImmutableList<String> hosts(int count) {
        ImmutableList.Builder<String> hosts = ImmutableList.builder();
        for (int host = 0; host < count; host++) {
            hosts.add("host-" + host);
        }
        return hosts.build();
    }
}
