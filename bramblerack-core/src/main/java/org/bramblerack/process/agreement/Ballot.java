package org.bramblerack.process.agreement;

import java.util.HashSet;
import java.util.Set;

/** The votes granted to one candidate. Not safe for use by several threads. */
final class Ballot {
    private final int voters;
    private final Set<String> granted = new HashSet<>();

    Ballot(int voters) {
        this.voters = voters;
    }

    void begin(String candidate) {
        granted.clear();
        granted.add(candidate);
    }

    void grant(String voter) {
        granted.add(voter);
    }

    boolean isWon() {
        return granted.size() > voters / 2;
    }
}
