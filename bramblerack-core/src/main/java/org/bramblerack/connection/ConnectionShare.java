package org.bramblerack.connection;

/** Divides the connections that a leaf accepts among hosts. Stateless and safe for use by many threads. */
public final class ConnectionShare {
    /** The rest is reserved for connections of hosts that have left and that the leaf may still count. */
    private static final double ALLOCATED_FRACTION = 0.85;

    private ConnectionShare() {}

    /**
     * Returns how many connections each host may open; 0 if there are too few for one each.
     *
     * @param maxConnections how many connections the leaf accepts from all hosts together
     * @param hosts the number of hosts that connect to the leaf
     */
    public static int of(int maxConnections, int hosts) {
        return (int) (maxConnections * ALLOCATED_FRACTION / Math.max(1, hosts));
    }
}
