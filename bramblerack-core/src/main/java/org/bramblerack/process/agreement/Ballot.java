package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableSortedSet;
import java.util.HashSet;
import java.util.Set;

/** The votes granted to one candidate. Not safe for use by several threads. */
final class Ballot {
    private final Set<String> granted = new HashSet<>();

    void begin(String candidate) {
        granted.clear();
        granted.add(candidate);
    }

    void grant(String voter) {
        granted.add(voter);
    }

    /** Returns true if a majority of the voters granted theirs; votes of others do not count. */
    boolean isWon(ImmutableSortedSet<String> voters) {
        long counted = granted.stream().filter(voters::contains).count();
        return counted > voters.size() / 2;
    }
}
