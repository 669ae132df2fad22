package org.bramblerack.version;

/** How requests are distributed over the upstreams of a service. */
public enum ServiceKind {
    /** Every query goes to one replica of each shard. */
    SHARDED,
    /** Every request goes to any one upstream. */
    POOLED
}
