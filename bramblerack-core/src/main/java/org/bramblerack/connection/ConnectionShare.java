package org.bramblerack.connection;

/** Shares the connections that a leaf takes out among hosts. Stateless and safe for use by many threads. */
public final class ConnectionShare {
    /** The part of a leaf's connections that the hosts share out; the rest is for those of hosts that have left. */
    private static final double ALLOCATED_FRACTION = 0.85;

    private ConnectionShare() {}

    /**
     * Returns how many connections each of some hosts may have; 0 if there are too few for one each.
     *
     * @param maxConnections how many the leaf takes from all hosts together
     */
    public static int of(int maxConnections, int hosts) {
        return (int) (maxConnections * ALLOCATED_FRACTION / Math.max(1, hosts));
    }
}
