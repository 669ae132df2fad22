package org.bramblerack.process.leaf;

/** What takes part in choosing leafs and spending extra attempts; each can be switched off to measure its worth. */
public enum RoutingFeature {
    /** A leaf's share of refused calls is remembered and priced by the budget that is left. */
    REFUSAL_PRICE,
    /** What other hosts have under way at a leaf is estimated from the load that it tells. */
    LOAD_OF_OTHERS,
    /** What a leaf tells of how long its work takes at the moment is expected to go on for a moment. */
    TOLD_WORK,
    /** A leaf that took longer than usual of late is expected to go on so. */
    SLOWNESS,
    /** A leaf with a call that is long overdue is taken to pause. */
    STALLS,
    /** A leaf that failed several times in a row is the last choice for a while. */
    EJECTION,
    /** A late attempt is hedged at another leaf. */
    HEDGES,
    /** An attempt that is long overdue at its own leaf is hedged before it is late among all calls of its route. */
    LEAF_HEDGES,
    /** A query that cannot reach its least share of shards any more ends at once. */
    EARLY_END,
    /** A host that is behind with what has arrived does not take its leafs for slow. */
    HOST_LAG,
    /** Shards of a holder that says that it is behind go to a host that stands in for it. */
    HOST_ROOM,
    /** A query whose answer will be late in any case starts when the leafs have room for it. */
    LATE_STARTS,
    /** Shards whose best leafs are in another region are left to a host there. */
    STAGES
}
