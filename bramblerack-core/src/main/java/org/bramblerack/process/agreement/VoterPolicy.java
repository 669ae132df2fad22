package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides on the next single change of the voters: adds missing voters and replaces unreachable ones.
 *
 * <p>A voter is removed only if its replacement has caught up and a quorum of the remaining voters is reachable.
 * Immutable and safe for use by many threads.
 */
final class VoterPolicy {
    /** A voter without contact for so long is replaced if a learner has caught up. */
    private static final long SILENT_VOTER_TIMEOUT_NANOS =
            Duration.ofMillis(1_500).toNanos();

    private final int targetVoterCount;

    /**
     * Creates a policy.
     *
     * @param tolerableFailures how many voters may fail at the same time
     */
    VoterPolicy(int tolerableFailures) {
        this.targetVoterCount = 2 * tolerableFailures + 1;
    }

    /**
     * Returns the voters after the next change, or nothing if none is due.
     *
     * @param self the leader, which is never removed
     * @param caughtUp the learners that have the whole committed log
     * @param isReachable whether a voter was in contact recently
     * @param isSilent whether a voter has been without contact for so long that it is to be replaced
     */
    Optional<ImmutableSortedSet<String>> next(
            String self,
            ImmutableSortedSet<String> voters,
            ImmutableSortedSet<String> caughtUp,
            Predicate<String> isReachable,
            Predicate<String> isSilent) {
        if (caughtUp.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> replaced = voters.stream()
                .filter(voter -> !voter.equals(self) && !isReachable.test(voter))
                .filter(voter -> caughtUp.stream().anyMatch(host -> hasSameAddress(host, voter)))
                .findFirst();
        if (replaced.isEmpty() && voters.size() < targetVoterCount) {
            return Optional.of(with(voters, caughtUp.first()));
        }
        Optional<String> removed = replaced.or(() -> voters.stream()
                .filter(voter -> !voter.equals(self) && isSilent.test(voter))
                .findFirst());
        return removed.map(voter -> without(voters, voter)).filter(rest -> hasQuorum(rest, isReachable));
    }

    /** Returns the voters after the next change, or nothing if none is due; also removes silent learners. */
    Optional<ImmutableSortedSet<String>> next(
            String self, ImmutableSortedSet<String> voters, FollowerTable followers, long commitIndex, long nowNanos) {
        followers.removeSilentLearners(nowNanos);
        return next(
                self,
                voters,
                followers.caughtUpLearners(commitIndex, nowNanos),
                host -> followers.hasContactWithin(host, FollowerTable.RECENT_CONTACT_NANOS, nowNanos),
                host -> !followers.hasContactWithin(host, SILENT_VOTER_TIMEOUT_NANOS, nowNanos));
    }

    private static boolean hasQuorum(ImmutableSortedSet<String> voters, Predicate<String> isReachable) {
        return voters.stream().filter(isReachable).count() > voters.size() / 2;
    }

    private static boolean hasSameAddress(String left, String right) {
        return addressOf(left).equals(addressOf(right));
    }

    private static String addressOf(String voter) {
        int tagPosition = voter.indexOf(VoterName.TAG_SEPARATOR);
        return tagPosition < 0 ? voter : voter.substring(0, tagPosition);
    }

    private static ImmutableSortedSet<String> with(ImmutableSortedSet<String> voters, String added) {
        return ImmutableSortedSet.<String>naturalOrder()
                .addAll(voters)
                .add(added)
                .build();
    }

    private static ImmutableSortedSet<String> without(ImmutableSortedSet<String> voters, String removed) {
        return voters.stream()
                .filter(voter -> !voter.equals(removed))
                .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
    }
}
