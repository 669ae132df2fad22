package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableSortedSet;
import java.util.HashSet;
import java.util.Set;

/** Counts the votes granted to one candidate. Not safe for use by several threads. */
final class VoteCount {
    private final Set<String> granted = new HashSet<>();

    void reset(String candidate) {
        granted.clear();
        granted.add(candidate);
    }

    void addVote(String voter) {
        granted.add(voter);
    }

    /** Returns true if a majority of the voters granted their vote; votes of other hosts are not counted. */
    boolean hasMajority(ImmutableSortedSet<String> voters) {
        long counted = granted.stream().filter(voters::contains).count();
        return counted > voters.size() / 2;
    }
}
