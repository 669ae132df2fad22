package org.bramblerack.process.quota;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.bramblerack.version.routing.RateLimit;

/**
 * The bound on how far all hosts together may exceed a team's rate limit: within any window, the requests that the
 * limit allows, a share of these in addition, and a fixed number of requests.
 *
 * <p>Half of the slack enlarges the token bucket, so that a team within its limit is not refused because of delayed
 * reports. The rest is the headroom. One half of the headroom covers requests that are not reported yet and the change
 * from one quota server to another; the other half covers requests permitted by hosts that reach no server.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param window the sliding window in which requests are counted
 * @param excess the excess over the limit, as a share of it
 * @param slack the number of requests allowed in addition
 */
public record QuotaBound(Duration window, double excess, double slack) {
    /** Rejects a window that is not positive and negative bounds. */
    public QuotaBound {
        checkArgument(!window.isNegative() && !window.isZero(), "a window of %s; give a positive one", window);
        checkArgument(excess >= 0, "an excess of %s; give 0 for none", excess);
        checkArgument(slack >= 0, "a slack of %s; give 0 for none", slack);
    }

    /** Returns the maximum number of a team's requests within any window. */
    public double maxRequests(RateLimit limit) {
        return withinLimit(limit) * (1 + excess) + slack;
    }

    /** Returns the capacity of a team's token bucket. */
    double capacity(RateLimit limit) {
        return Math.max(1, limit.burst() + slack / 2);
    }

    /** Returns what an account may grant while earlier spending may be unreported, before refill. */
    double allowanceWhileUncertain() {
        return slack / 4;
    }

    /** Returns the maximum number of requests that a host permits without confirmation by the quota server. */
    int maxUnconfirmed(RateLimit limit, int hosts) {
        return Math.max(1, (int) (headroom(limit) / 2 / Math.max(1, hosts)));
    }

    /** Returns how many requests all hosts that reach no quota server may permit together within a window. */
    int allowanceOfIsolatedHosts(RateLimit limit) {
        return (int) (headroom(limit) / 2);
    }

    private double headroom(RateLimit limit) {
        return withinLimit(limit) * excess + slack / 2;
    }

    private double withinLimit(RateLimit limit) {
        return limit.perSecond() * window.toMillis() / Duration.ofSeconds(1).toMillis() + limit.burst();
    }
}
