package org.bramblerack.process.leaf;

/**
 * A feature of leaf selection or of hedges and retries that configuration can switch off, for example for comparisons.
 */
public enum RoutingFeature {
    /** The fraction of refused calls raises the cost of a leaf, depending on the remaining budget. */
    REFUSAL_PRICE,
    /** The calls in flight from other hosts are estimated from the load that a leaf reports. */
    LOAD_OF_OTHERS,
    /** The current slowness that a leaf reports affects its expected time for a moment. */
    TOLD_WORK,
    /** A leaf that recently took longer than usual is expected to be slow. */
    SLOWNESS,
    /** A leaf with a call that is long overdue counts as stalled. */
    STALLS,
    /** A leaf that failed several times in a row is chosen last for a while. */
    EJECTION,
    /** A late call is hedged at another leaf. */
    HEDGES,
    /** A call that is long overdue for its leaf is hedged before it is late for its route. */
    LEAF_HEDGES,
    /** A query that can no longer reach its minimum shard coverage ends at once. */
    EARLY_END,
    /** The event-loop lag of this host is subtracted from the observed time of calls. */
    HOST_LAG,
    /** Calls to shards of a holder that reports a high event-loop lag go to a backup. */
    HOST_ROOM,
    /** A query that will miss its latency goal in any case is deferred until the leaves have free capacity. */
    LATE_STARTS,
    /** Calls to shards whose best leaves are in another region are delegated to a host there. */
    STAGES
}
