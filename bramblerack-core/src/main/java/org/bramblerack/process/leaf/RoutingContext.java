package org.bramblerack.process.leaf;

/**
 * What all routing decisions of one host share.
 *
 * <p>Not safe for use by several threads, since the lag is not.
 *
 * @param policy which mechanisms take part
 * @param hostLag how far the host is behind with what has arrived
 */
public record RoutingContext(RoutingPolicy policy, HostLag hostLag) {
    /** Creates the context of a host that is never behind and uses every mechanism. */
    public static RoutingContext plain() {
        return new RoutingContext(RoutingPolicy.DEFAULT, HostLag.none());
    }

    /** Returns true if a mechanism takes part. */
    public boolean uses(Mechanism mechanism) {
        return policy.uses(mechanism);
    }

    /** Returns for how long what is read now may have waited at this host, as far as that is to be considered. */
    public long lagNanos(long nowNanos) {
        return uses(Mechanism.HOST_LAG) ? hostLag.nanos(nowNanos) : 0;
    }
}
