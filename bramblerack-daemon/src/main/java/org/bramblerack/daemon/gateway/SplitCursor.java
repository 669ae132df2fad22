package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.random.RandomGenerator;
import org.bramblerack.version.routing.RouteTarget;

/**
 * Distributes the requests of a split target over its services by weight, each spread evenly.
 *
 * <p>After any number of requests, the count of each service is within two requests of its share. Cursors start at
 * random positions, so that the first requests of all hosts together are distributed by weight as well. Owned by the
 * event loop.
 */
final class SplitCursor {
    /** More than the number of hosts in a fleet, so that start positions rarely coincide. */
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
     * Creates a cursor at a random position. If all hosts started with the same service, that service would get too
     * many of the first requests.
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

    /** Returns the service of the next request and advances the cursor. */
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
