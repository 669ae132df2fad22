package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides which single change of the voters comes next, so that there are enough of them and none is gone for long.
 *
 * <p>A voter is replaced only once its successor has caught up, and only if the voters that remain can agree without
 * it. Immutable and safe for use by many threads.
 */
final class VoterPolicy {
    /** A voter that was silent for so long is replaced, if another host stands by that has caught up. */
    private static final long SILENT_NANOS = Duration.ofMillis(1_500).toNanos();

    private final int wantedVoters;

    /**
     * Creates a policy.
     *
     * @param lossesBorne how many voters may be lost at once
     */
    VoterPolicy(int lossesBorne) {
        this.wantedVoters = 2 * lossesBorne + 1;
    }

    /**
     * Returns the voters after the next change, or nothing if none is due.
     *
     * @param self the leader, which is never removed
     * @param isHeard tells of a member whether it was heard of in the last moment
     * @param isSilent tells of a voter whether it was not heard of for long
     * @param caughtUp hosts that have the whole log and do not vote yet
     */
    Optional<ImmutableSortedSet<String>> next(
            String self,
            ImmutableSortedSet<String> voters,
            ImmutableSortedSet<String> caughtUp,
            Predicate<String> isHeard,
            Predicate<String> isSilent) {
        if (caughtUp.isEmpty()) {
            return Optional.empty();
        }
        Optional<String> replaced = voters.stream()
                .filter(voter -> !voter.equals(self) && !isHeard.test(voter))
                .filter(voter -> caughtUp.stream().anyMatch(host -> hasSameAddress(host, voter)))
                .findFirst();
        if (replaced.isEmpty() && voters.size() < wantedVoters) {
            return Optional.of(with(voters, caughtUp.first()));
        }
        Optional<String> removed = replaced.or(() -> voters.stream()
                .filter(voter -> !voter.equals(self) && isSilent.test(voter))
                .findFirst());
        return removed.map(voter -> without(voters, voter)).filter(rest -> canAgree(rest, isHeard));
    }

    /** Returns the voters after the next change of a leader, or nothing if none is due. */
    Optional<ImmutableSortedSet<String>> next(
            String self, ImmutableSortedSet<String> voters, FollowerTable followers, long commitIndex, long nowNanos) {
        followers.dropSilentLearners(nowNanos);
        return next(
                self,
                voters,
                followers.learnersThatHave(commitIndex, nowNanos),
                host -> followers.isHeardWithin(host, FollowerTable.HEARD_NANOS, nowNanos),
                host -> !followers.isHeardWithin(host, SILENT_NANOS, nowNanos));
    }

    private static boolean canAgree(ImmutableSortedSet<String> voters, Predicate<String> isHeard) {
        return voters.stream().filter(isHeard).count() > voters.size() / 2;
    }

    private static boolean hasSameAddress(String left, String right) {
        return addressOf(left).equals(addressOf(right));
    }

    private static String addressOf(String voter) {
        int tag = voter.indexOf(VoterName.TAG);
        return tag < 0 ? voter : voter.substring(0, tag);
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
