package org.bramblerack.process;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The budget of extra attempts that all hosts together may make to one service within any window.
 *
 * <p>The budget is a percentage of the first attempts plus a fixed slack. Hosts divide the slack by the replicated
 * tables: each gets an equal whole number of attempts, and the remainder goes to some hosts, one attempt each, rotated
 * by service. Each host may spend its share once in every window.
 *
 * <p>Invariant: the shares of hosts with the same tables add up to less than the slack. Immutable and safe for use by
 * many threads.
 *
 * @param extraPercent extra attempts per 100 requests
 * @param slack extra attempts beyond the percentage, for all hosts together
 * @param window the length of time to which both apply
 */
public record FleetBudget(int extraPercent, int slack, Duration window) {
    /**
     * The fraction of the slack that is assigned. The rest covers hosts that restart within a window, and hosts whose
     * tables differ for a moment.
     */
    private static final double ASSIGNED_FRACTION = 0.8;

    /** The fraction of the percentage that a host uses: the windows of the fleet and of a host are not aligned. */
    private static final double HOST_PERCENT_FRACTION = 0.9;

    /**
     * The fraction of its share that a host may spend in the first window after its start: it may have spent its share
     * just before it restarted.
     */
    private static final double FIRST_WINDOW_FRACTION = 0.3;

    /** The fraction of the slack of a held shard that goes to the hosts without a connection to the shard. */
    private static final double NON_HOLDER_FRACTION = 0.5;

    /** Validates that no value is negative and that the window lasts at least a millisecond. */
    public FleetBudget {
        checkArgument(extraPercent >= 0, "extraPercent must not be negative: %s", extraPercent);
        checkArgument(slack >= 0, "slack must not be negative: %s", slack);
        checkArgument(window.toMillis() > 0, "window must be at least 1 ms: %s", window);
    }

    /** Returns the budget of one host, without any slack yet. */
    public WindowedBudget newShare(long startedNanos) {
        return WindowedBudget.create(ownPercent(), window, startedNanos);
    }

    /** Assigns a host its share of the slack of a service that it calls over its own connections. */
    public void assignShare(WindowedBudget budget, Rank rank) {
        budget.setReserve(rank.shareOf(assignedSlack()), rank.shareOf(assignedSlack() * FIRST_WINDOW_FRACTION));
    }

    /**
     * Assigns a host without a connection to a shard its share of the shard's slack. It uses that share if a holder
     * fails: one attempt each, up to half of the slack.
     */
    public void assignNonHolderShare(WindowedBudget budget, Rank rank) {
        double slackOfNonHolders = nonHolderSlack(rank.hosts());
        budget.setReserve(rank.shareOf(slackOfNonHolders), rank.shareOf(slackOfNonHolders * FIRST_WINDOW_FRACTION));
    }

    /**
     * Assigns the holder of a shard in one availability zone its share of the slack.
     *
     * @param zones the number of zones in which the shard has a holder
     */
    public void assignHolderShare(WindowedBudget budget, int hosts, int zones) {
        double share = (assignedSlack() - nonHolderSlack(hosts)) / Math.max(1, zones);
        budget.setReserve((int) share, (int) (share * FIRST_WINDOW_FRACTION));
    }

    /** Returns the extra attempts that a host may make per 100 requests of its own. */
    public int ownPercent() {
        return (int) Math.floor(extraPercent * HOST_PERCENT_FRACTION);
    }

    private double assignedSlack() {
        return slack * ASSIGNED_FRACTION;
    }

    private double nonHolderSlack(int hosts) {
        return Math.min(hosts, Math.floor(assignedSlack() * NON_HOLDER_FRACTION));
    }

    /**
     * The rank of a host among those that divide a slack for one service.
     *
     * @param index from 0 up, different for each host
     * @param hosts the number of hosts that divide the slack
     */
    public record Rank(int index, int hosts) {
        /** Validates that the index is below the number of hosts. */
        public Rank {
            checkArgument(index >= 0 && index < hosts, "index %s of %s hosts", index, hosts);
        }

        /**
         * Returns the rank of a host for one service.
         *
         * @param position the index of the host in the replicated tables, the same on every host
         */
        public static Rank of(int position, int hosts, String service) {
            return new Rank(Math.floorMod(position + service.hashCode(), hosts), hosts);
        }

        /** Returns this host's share of a total; the shares of all hosts add up to the whole part of the total. */
        int shareOf(double total) {
            int whole = (int) Math.floor(total);
            return whole / hosts + (index < whole % hosts ? 1 : 0);
        }
    }
}
