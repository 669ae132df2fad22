package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.random.RandomGenerator;
import org.bramblerack.version.routing.RouteTarget;

/**
 * Divides the requests of one split among its services, each as evenly spread as its weight allows.
 *
 * <p>After any number of requests each service has had its share of them to within two requests, and over a fleet whose
 * hosts begin anywhere the first requests of all hosts together are divided by weight as well. Owned by the event loop.
 */
final class SplitCursor {
    /** More places to begin at than a fleet has hosts, at a cost far below a millisecond. */
    private static final int START_POSITIONS = 1_000;

    private final ImmutableList<RouteTarget.Share> shares;
    private final double[] credit;
    private final long totalWeight;

    SplitCursor(RouteTarget.Split split) {
        this.shares = split.shares();
        this.credit = new double[shares.size()];
        this.totalWeight = shares.stream().mapToLong(RouteTarget.Share::weight).sum();
    }

    /**
     * Creates a cursor that begins at a place drawn at random: hosts that all began with the same service would send it
     * too much, the more hosts there are and the fewer requests each has.
     */
    static SplitCursor startingAtRandom(RouteTarget.Split split, RandomGenerator random) {
        SplitCursor cursor = new SplitCursor(split);
        for (int step = random.nextInt(START_POSITIONS); step > 0; step--) {
            var unused = cursor.nextService();
        }
        return cursor;
    }

    boolean matches(RouteTarget.Split split) {
        return shares.equals(split.shares());
    }

    /** Returns the service of the next request. */
    String nextService() {
        int chosen = -1;
        for (int position = 0; position < credit.length; position++) {
            long weight = shares.get(position).weight();
            credit[position] += (double) weight / totalWeight;
            if (weight > 0 && (chosen < 0 || credit[position] > credit[chosen])) {
                chosen = position;
            }
        }
        credit[chosen] -= 1;
        return shares.get(chosen).service();
    }
}
