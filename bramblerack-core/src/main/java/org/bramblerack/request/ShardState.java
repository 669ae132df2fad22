package org.bramblerack.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bramblerack.version.UpstreamName;

/** The state of one shard of a query. Guarded by the query's lock. */
final class ShardState {
    final List<Attempt> attempts = new ArrayList<>(2);
    boolean finished;
    boolean retryScheduled;
    long retryAtNanos;

    boolean hasAttemptInFlight() {
        for (Attempt attempt : attempts) {
            if (!attempt.finished) {
                return true;
            }
        }
        return false;
    }

    boolean hasTried(UpstreamName upstream) {
        for (Attempt attempt : attempts) {
            if (attempt.upstream.equals(upstream)) {
                return true;
            }
        }
        return false;
    }

    boolean isVersionGoneAt(UpstreamName upstream) {
        for (Attempt attempt : attempts) {
            if (attempt.upstream.equals(upstream) && attempt.isVersionGone()) {
                return true;
            }
        }
        return false;
    }

    /** Returns true if every attempt found that its replica no longer serves the pinned version. */
    boolean isVersionGoneAtAllTried() {
        return !attempts.isEmpty() && attempts.stream().allMatch(Attempt::isVersionGone);
    }

    /** Returns the attempt of the shard if it is the only one, in flight, and due for a hedge. */
    Optional<Attempt> lateAttempt(long lateAfterNanos, long nowNanos) {
        return onlyAttempt()
                .filter(only -> !finished && !only.finished)
                .filter(only -> nowNanos - only.hedgeDueNanos(lateAfterNanos) >= 0);
    }

    /** Returns when a retry or hedge of the shard is due, empty if none can become due. */
    Optional<Long> nextCheckNanos(long lateAfterNanos) {
        if (finished) {
            return Optional.empty();
        }
        return retryScheduled
                ? Optional.of(retryAtNanos)
                : onlyAttempt().map(only -> only.hedgeDueNanos(lateAfterNanos));
    }

    private Optional<Attempt> onlyAttempt() {
        return attempts.size() == 1 ? Optional.of(attempts.get(0)) : Optional.empty();
    }
}
