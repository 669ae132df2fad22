package org.bramblerack.version;

/** How the upstreams of a service divide its work. */
public enum ServiceKind {
    /** Every query goes to one replica of each shard. */
    SHARDED,
    /** Every request goes to any one upstream. */
    POOLED
}
