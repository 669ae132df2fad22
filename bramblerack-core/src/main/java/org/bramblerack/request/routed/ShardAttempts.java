package org.bramblerack.request.routed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.leaf.Leaf;

/** The attempts that this host has made at one shard, in their order. Not safe for use by several threads. */
final class ShardAttempts {
    private final List<Attempt> attempts = new ArrayList<>(2);

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    int count() {
        return attempts.size();
    }

    Attempt first() {
        return attempts.get(0);
    }

    /** Returns the number of attempts that may have run. */
    int possiblyRunCount() {
        int count = 0;
        for (Attempt attempt : attempts) {
            count += attempt.isNotRun() ? 0 : 1;
        }
        return count;
    }

    boolean isNoneRun() {
        return attempts.stream().allMatch(Attempt::isNotRun);
    }

    boolean isNoneSent() {
        return attempts.stream().allMatch(Attempt::isNotSent);
    }

    boolean isAnyQuarantined() {
        return attempts.stream().anyMatch(Attempt::isQuarantined);
    }

    boolean isAnyInFlight() {
        return attempts.stream().anyMatch(attempt -> !attempt.isFinished());
    }

    boolean include(Leaf leaf) {
        return attempts.stream().anyMatch(attempt -> attempt.leaf() == leaf);
    }

    void abandonInFlight(List<RoutedAction> actions) {
        for (Attempt attempt : attempts) {
            if (!attempt.isFinished()) {
                attempt.finish(Attempt.State.GIVEN_UP);
                actions.add(new RoutedAction.AbandonAttempt(attempt));
            }
        }
    }

    /** Describes the attempts and their state for a log line. */
    String describe(long nowNanos) {
        StringBuilder text = new StringBuilder();
        for (Attempt attempt : attempts) {
            text.append(' ')
                    .append(attempt.purpose())
                    .append('@')
                    .append(attempt.leaf().id());
            text.append('-')
                    .append(TimeUnit.NANOSECONDS.toMillis(nowNanos - attempt.sentNanos()))
                    .append("ms-")
                    .append(attempt.state());
        }
        return text.toString();
    }
}
