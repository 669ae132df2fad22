package org.bramblerack.process.leaf;

/**
 * The state that all routing decisions of one host share.
 *
 * <p>Not safe for use by several threads, since the lag is not.
 *
 * @param policy which features are enabled
 * @param eventLoopLag the event-loop lag of this host
 */
public record RoutingContext(RoutingPolicy policy, EventLoopLag eventLoopLag) {
    /** Creates a context with all features enabled and an event-loop lag of zero. */
    public static RoutingContext plain() {
        return new RoutingContext(RoutingPolicy.DEFAULT, EventLoopLag.none());
    }

    public boolean uses(RoutingFeature feature) {
        return policy.uses(feature);
    }

    /** Returns how long a message that is read now may have waited, or 0 if the lag is to be ignored. */
    public long lagNanos(long nowNanos) {
        return uses(RoutingFeature.HOST_LAG) ? eventLoopLag.lagNanos(nowNanos) : 0;
    }
}
