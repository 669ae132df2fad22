package org.bramblerack.process;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * What all hosts together may spend on extra attempts at one service within any window.
 *
 * <p>The hosts share the slack out by the agreed tables: an even part each, and what is left over one attempt each to
 * as many hosts as it reaches, by turns that differ from service to service. Each spends its part anew in every window.
 *
 * <p>Invariant: the parts of hosts that agree on the tables add up to less than the slack. Immutable and safe for use
 * by many threads.
 *
 * @param extraPercent extra attempts for 100 requests
 * @param slack extra attempts beyond those, for all hosts together
 * @param window the time for which both hold
 */
public record FleetBudget(int extraPercent, int slack, Duration window) {
    /**
     * The part of the budget that the hosts share out. The rest covers hosts that restart within the window, which
     * begin with a part of their share, and the moments in which hosts differ about how many they are.
     */
    private static final double ASSIGNED_FRACTION = 0.8;

    /** The part of the ratio that a host spends: the fleet counts requests in windows that a host cannot see. */
    private static final double HOST_PERCENT_FRACTION = 0.9;

    /** The part of its share that a host has in the first window after its start: it may have spent it just before. */
    private static final double FIRST_WINDOW_FRACTION = 0.3;

    /** The part of a held shard's slack that may go to the hosts that do not hold it. */
    private static final double NON_HOLDER_FRACTION = 0.5;

    /** Refuses a negative budget. */
    public FleetBudget {
        checkArgument(extraPercent >= 0, "extra attempts of %s percent", extraPercent);
        checkArgument(slack >= 0, "a slack of %s", slack);
        checkArgument(window.toMillis() > 0, "a window of %s", window);
    }

    /** Returns a budget of one host, without any slack yet. */
    public WindowedBudget newShare(long startedNanos) {
        return WindowedBudget.create(ownPercent(), window, startedNanos);
    }

    /** Gives a host its part of the slack of a service that it connects to itself. */
    public void assignShare(WindowedBudget budget, Rank turn) {
        budget.setReserve(turn.shareOf(assignedSlack()), turn.shareOf(assignedSlack() * FIRST_WINDOW_FRACTION));
    }

    /**
     * Gives a host its part of the slack of a shard whose connections others hold: one attempt, for when a holder
     * fails, as far as half of the slack reaches.
     */
    public void assignNonHolderShare(WindowedBudget budget, Rank turn) {
        double slackOfNonHolders = nonHolderSlack(turn.hosts());
        budget.setReserve(turn.shareOf(slackOfNonHolders), turn.shareOf(slackOfNonHolders * FIRST_WINDOW_FRACTION));
    }

    /**
     * Gives the holder of a shard in one availability zone its part of the slack.
     *
     * @param zones in how many zones the shard has a holder
     */
    public void assignHolderShare(WindowedBudget budget, int hosts, int zones) {
        double share = (assignedSlack() - nonHolderSlack(hosts)) / Math.max(1, zones);
        budget.setReserve((int) share, (int) (share * FIRST_WINDOW_FRACTION));
    }

    /** Returns the extra attempts that a host may make for 100 of its own requests. */
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
     * Whose turn a host is among those that share something out for one service.
     *
     * @param index from 0 up, different for each host
     * @param hosts how many share
     */
    public record Rank(int index, int hosts) {
        /** Refuses a place that does not exist. */
        public Rank {
            checkArgument(index >= 0 && index < hosts, "place %s of %s", index, hosts);
        }

        /**
         * Returns the turn of a host at one service.
         *
         * @param position the host's position among the agreed hosts, the same on every host
         */
        public static Rank of(int position, int hosts, String service) {
            return new Rank(Math.floorMod(position + service.hashCode(), hosts), hosts);
        }

        /** Returns how much of a total is this host's; the parts of all hosts add up to its whole attempts. */
        int shareOf(double total) {
            int whole = (int) Math.floor(total);
            return whole / hosts + (index < whole % hosts ? 1 : 0);
        }
    }
}
