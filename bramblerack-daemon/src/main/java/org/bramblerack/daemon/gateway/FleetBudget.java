package org.bramblerack.daemon.gateway;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What all hosts together may spend on extra attempts at one service within any window.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param extraPercent extra attempts for 100 requests
 * @param slack extra attempts beyond those, for all hosts together
 */
public record FleetBudget(int extraPercent, int slack) {
    /**
     * The part of the budget that the hosts share out. The rest covers hosts that restart within the window, which
     * begin with a part of their share, and the moments in which hosts differ about how many they are.
     */
    private static final double SHARED_OUT = 0.8;

    /** The part of the ratio that a host spends: the fleet counts requests in windows that a host cannot see. */
    private static final double OWN_RATIO = 0.9;

    /** Refuses a negative budget. */
    public FleetBudget {
        checkArgument(extraPercent >= 0, "extra attempts of %s percent", extraPercent);
        checkArgument(slack >= 0, "a slack of %s", slack);
    }

    /** Returns the part of the slack that is one host's. */
    public int slackOf(int hosts) {
        return (int) Math.floor(slack * SHARED_OUT / Math.max(1, hosts));
    }

    /**
     * Returns the part of the slack of a shard that is one host's if others hold the connections to its leafs: one
     * attempt, for when a holder fails, as long as that leaves half of the slack to the holders.
     */
    public int slackBesideHolders(int hosts) {
        return 2 * hosts <= slack * SHARED_OUT ? 1 : 0;
    }

    /**
     * Returns the part of the slack of a shard that is its holder's in one availability zone.
     *
     * @param zones in how many zones the shard has a holder
     */
    public int slackOfHolder(int hosts, int zones) {
        double left = slack * SHARED_OUT - (double) hosts * slackBesideHolders(hosts);
        return (int) Math.floor(left / Math.max(1, zones));
    }

    /** Returns the extra attempts that a host may make for 100 of its own requests. */
    public int ownPercent() {
        return (int) Math.floor(extraPercent * OWN_RATIO);
    }
}
