package org.bramblerack.process.leaf;

/**
 * What all routing decisions of one host share.
 *
 * <p>Not safe for use by several threads, since the lag is not.
 *
 * @param policy which mechanisms take part
 * @param eventLoopLag how far the host is behind with what has arrived
 */
public record RoutingContext(RoutingPolicy policy, EventLoopLag eventLoopLag) {
    /** Creates the context of a host that is never behind and uses every mechanism. */
    public static RoutingContext plain() {
        return new RoutingContext(RoutingPolicy.DEFAULT, EventLoopLag.none());
    }

    /** Returns true if a mechanism takes part. */
    public boolean uses(RoutingFeature mechanism) {
        return policy.uses(mechanism);
    }

    /** Returns for how long what is read now may have waited at this host, as far as that is to be considered. */
    public long lagNanos(long nowNanos) {
        return uses(RoutingFeature.HOST_LAG) ? eventLoopLag.lagNanos(nowNanos) : 0;
    }
}
