package org.bramblerack.process.quota;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.bramblerack.version.routing.RateLimit;

/**
 * How far all hosts together may go beyond the limits of teams: in any window, what the limit allows, a share of that
 * more, and a number of requests.
 *
 * <p>What lies beyond the limit is divided once. Half of the slack enlarges what a team may make at once, so that one
 * which keeps to its limit is not refused for what hosts do not know of each other. The rest, the headroom, covers what
 * the host that keeps account cannot know in time: one half requests that were made and not reported yet, and the
 * change from one such host to another; the other half the permissions of hosts that reach none.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param window the time for which the bound holds
 * @param excess the share of the limit that may be made beyond it
 * @param slack the requests that may be made beyond that
 */
public record QuotaBound(Duration window, double excess, double slack) {
    /** Refuses negative bounds. */
    public QuotaBound {
        checkArgument(!window.isNegative() && !window.isZero(), "a window of %s; give a positive one", window);
        checkArgument(excess >= 0, "an excess of %s; give 0 for none", excess);
        checkArgument(slack >= 0, "a slack of %s; give 0 for none", slack);
    }

    /** Returns how many requests of a team may run within any window. */
    public double maxRequests(RateLimit limit) {
        return withinLimit(limit) * (1 + excess) + slack;
    }

    /** Returns what a team that made none of late may make at once, beside what its rate brings. */
    double capacity(RateLimit limit) {
        return Math.max(1, limit.burst() + slack / 2);
    }

    /** Returns what an account whose past is in doubt permits, if nothing is known to have been spent. */
    double inDoubt() {
        return slack / 4;
    }

    /** Returns how many requests a host makes at the most before the first of them is answered for. */
    int unanswered(RateLimit limit, int hosts) {
        return Math.max(1, (int) (headroom(limit) / 2 / Math.max(1, hosts)));
    }

    /** Returns how many requests all hosts together may make within a window that reach none which keeps account. */
    int alone(RateLimit limit) {
        return (int) (headroom(limit) / 2);
    }

    private double headroom(RateLimit limit) {
        return withinLimit(limit) * excess + slack / 2;
    }

    private double withinLimit(RateLimit limit) {
        return limit.perSecond() * window.toMillis() / Duration.ofSeconds(1).toMillis() + limit.burst();
    }
}
