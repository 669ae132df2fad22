package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** A slow host seals earlier than a fast one, within bounds. */
final class SealLeadTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    @Test
    void aFreshHostCountsAsSlowAndAFastOneSoonNoLonger() {
        SealLead lead = new SealLead();
        long first = lead.nanos();
        for (int answer = 0; answer < 30; answer++) {
            lead.sealed(0, MILLI);
        }
        assertThat(first).isAtLeast(14 * MILLI);
        assertThat(lead.nanos()).isAtMost(10 * MILLI);
    }

    @Test
    void aSlowHostSealsEarlier() {
        SealLead lead = new SealLead();
        for (int answer = 0; answer < 30; answer++) {
            lead.sealed(0, 6 * MILLI);
        }
        assertThat(lead.nanos()).isAtLeast(18 * MILLI);
    }

    @Test
    void anAnswerThatWaitedForMoreShardsChangesNothing() {
        SealLead lead = new SealLead();
        long before = lead.nanos();
        lead.sealed(0, Duration.ofSeconds(5).toNanos());
        assertThat(lead.nanos()).isEqualTo(before);
    }
}
