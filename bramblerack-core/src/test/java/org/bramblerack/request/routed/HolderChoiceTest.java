package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class HolderChoiceTest {
    private static final ImmutableList<String> CANDIDATES = ImmutableList.of("holder", "second", "third");

    private final Set<String> unusable = new HashSet<>();
    private final Set<String> lagging = new HashSet<>();

    @Test
    void theHolderIsChosenWhileUsable() {
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("holder"));
        assertThat(chosenBy("second")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void anUnusableOrLaggingHolderIsSkippedUntilItRecovers() {
        unusable.add("holder");
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("second"));
        lagging.add("second");
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("third"));
        unusable.clear();
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void aBackupCallsTheLeafItselfIfTheHolderWasSkipped() {
        assertThat(chosenBy("second", "holder")).isEqualTo(Optional.empty());
        lagging.add("holder");
        assertThat(chosenBy("second")).isEqualTo(Optional.empty());
    }

    @Test
    void aHostThatIsNoCandidateIgnoresSkippedHosts() {
        assertThat(chosenBy("relay", "holder", "second", "third")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void theThirdCandidateActsIfBothOthersWereSkipped() {
        assertThat(chosenBy("third", "holder")).isEqualTo(Optional.of("second"));
        assertThat(chosenBy("third", "holder", "second")).isEqualTo(Optional.empty());
    }

    @Test
    void theHolderIsChosenIfAllAreLagging() {
        lagging.addAll(CANDIDATES);
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void noHostIsChosenIfNoneIsUsable() {
        unusable.addAll(CANDIDATES);
        assertThat(chosenBy("entry")).isEqualTo(Optional.empty());
    }

    private Optional<String> chosenBy(String self, String... skipped) {
        return HolderChoice.choose(CANDIDATES, ImmutableList.copyOf(skipped), new HolderChoice.HostView() {
            @Override
            public boolean isSelf(String host) {
                return host.equals(self);
            }

            @Override
            public boolean isUsable(String host) {
                return !unusable.contains(host);
            }

            @Override
            public boolean isLagging(String host) {
                return lagging.contains(host);
            }
        });
    }
}
