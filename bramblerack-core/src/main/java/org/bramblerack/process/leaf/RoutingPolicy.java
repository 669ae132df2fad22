package org.bramblerack.process.leaf;

/**
 * Which mechanisms take part when leafs are chosen and extra attempts are spent.
 *
 * <p>Each can be switched off by itself, so that its worth can be measured. Immutable and safe for use by many threads.
 *
 * @param learnsRefusals whether a leaf's share of refused calls is remembered and priced by what a refusal costs
 */
public record RoutingPolicy(boolean learnsRefusals) {
    /** Every mechanism takes part. */
    public static final RoutingPolicy DEFAULT = new RoutingPolicy(true);
}
