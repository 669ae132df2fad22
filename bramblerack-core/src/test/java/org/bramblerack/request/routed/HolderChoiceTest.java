package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class HolderChoiceTest {
    private static final ImmutableList<String> NAMED = ImmutableList.of("holder", "second", "third");

    private final Set<String> silent = new HashSet<>();
    private final Set<String> behind = new HashSet<>();

    @Test
    void theHolderIsAskedWhileItCanBe() {
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("holder"));
        assertThat(chosenBy("second")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void aHolderThatIsDeadOrFrozenOrBehindIsPassedOverUntilItIsNot() {
        silent.add("holder");
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("second"));
        behind.add("second");
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("third"));
        silent.clear();
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void oneThatStandsInAsksItselfAndSendsNothingBackToTheHolderThatWasPassedOver() {
        assertThat(chosenBy("second", "holder")).isEqualTo(Optional.empty());
        behind.add("holder");
        assertThat(chosenBy("second")).isEqualTo(Optional.empty());
    }

    @Test
    void whatItIsToldIsNoReasonForAHostThatIsNotNamedToGoRoundTheHolders() {
        assertThat(chosenBy("relay", "holder", "second", "third")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void aThirdHostStandsInWhereBothBeforeItWerePassedOver() {
        assertThat(chosenBy("third", "holder")).isEqualTo(Optional.of("second"));
        assertThat(chosenBy("third", "holder", "second")).isEqualTo(Optional.empty());
    }

    @Test
    void ifAllAreBehindTheHolderIsAskedAsIfNoneWere() {
        behind.addAll(NAMED);
        assertThat(chosenBy("entry")).isEqualTo(Optional.of("holder"));
    }

    @Test
    void ifNoneCanBeAskedTheHostAsksItself() {
        silent.addAll(NAMED);
        assertThat(chosenBy("entry")).isEqualTo(Optional.empty());
    }

    private Optional<String> chosenBy(String self, String... passedOver) {
        return HolderChoice.choose(NAMED, ImmutableList.copyOf(passedOver), new HolderChoice.HostView() {
            @Override
            public boolean isSelf(String host) {
                return host.equals(self);
            }

            @Override
            public boolean isUsable(String host) {
                return !silent.contains(host);
            }

            @Override
            public boolean isLagging(String host) {
                return behind.contains(host);
            }
        });
    }
}
