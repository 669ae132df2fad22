package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import org.bramblerack.version.routing.RouteTarget;

/**
 * Divides the requests of one split among its services, each as evenly spread as its weight allows.
 *
 * <p>After any number of requests each service has had its share of them to within one request. Owned by the event
 * loop.
 */
final class SplitCursor {
    private final ImmutableList<RouteTarget.Share> shares;
    private final double[] credit;
    private final long sum;

    SplitCursor(RouteTarget.Split split) {
        this.shares = split.shares();
        this.credit = new double[shares.size()];
        this.sum = shares.stream().mapToLong(RouteTarget.Share::weight).sum();
    }

    boolean isOf(RouteTarget.Split split) {
        return shares.equals(split.shares());
    }

    /** Returns the service of the next request. */
    String next() {
        int chosen = -1;
        for (int position = 0; position < credit.length; position++) {
            long weight = shares.get(position).weight();
            credit[position] += (double) weight / sum;
            if (weight > 0 && (chosen < 0 || credit[position] > credit[chosen])) {
                chosen = position;
            }
        }
        credit[chosen] -= 1;
        return shares.get(chosen).service();
    }
}
