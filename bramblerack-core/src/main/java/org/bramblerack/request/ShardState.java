package org.bramblerack.request;

import java.util.ArrayList;
import java.util.List;
import org.bramblerack.version.UpstreamName;

/** How far a query has come with one shard. Guarded by the query's lock. */
final class ShardState {
    final List<Attempt> attempts = new ArrayList<>(2);
    boolean finished;
    boolean retryDue;
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

    boolean foundVersionGoneAt(UpstreamName upstream) {
        for (Attempt attempt : attempts) {
            if (attempt.upstream.equals(upstream) && attempt.foundVersionGone()) {
                return true;
            }
        }
        return false;
    }

    /** Returns true if every replica that was asked no longer serves the version. */
    boolean isVersionGone() {
        return !attempts.isEmpty() && attempts.stream().allMatch(Attempt::foundVersionGone);
    }
}
