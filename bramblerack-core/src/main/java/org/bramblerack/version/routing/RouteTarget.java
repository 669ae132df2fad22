package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * The service or services that the requests of a route are sent to.
 *
 * <p>Implementations are immutable and safe for use by many threads.
 */
public sealed interface RouteTarget {
    /** Returns all services of the target. */
    ImmutableList<String> services();

    /** Sends each request to one leaf of one service. */
    record Single(String service) implements RouteTarget {
        /** Rejects a missing name. */
        public Single {
            requireNonNull(service);
        }

        @Override
        public ImmutableList<String> services() {
            return ImmutableList.of(service);
        }
    }

    /** Splits requests among services in proportion to their weights. */
    record Split(ImmutableList<Share> shares) implements RouteTarget {
        /** Rejects shares whose weights are all 0. */
        public Split {
            long sum = shares.stream().mapToLong(Share::weight).sum();
            checkArgument(sum > 0, "the weights of a split add up to %s; give one share a weight above 0", sum);
        }

        @Override
        public ImmutableList<String> services() {
            return shares.stream().map(Share::service).collect(ImmutableList.toImmutableList());
        }
    }

    /** One service of a split, with its weight. */
    record Share(String service, long weight) {
        /** Rejects a negative weight. */
        public Share {
            requireNonNull(service);
            checkArgument(weight >= 0, "the weight %s of %s is negative", weight, service);
        }
    }

    /**
     * Sends each request to one leaf of every shard, and merges the answers.
     *
     * @param shards the services that serve one shard each
     * @param topRecords how many of the highest-ranked records the merged answer contains
     * @param minCoverage the fraction of the shards, 0 to 1, that must answer
     */
    record Scatter(ImmutableList<String> shards, int topRecords, double minCoverage) implements RouteTarget {
        /** Rejects shards that are missing or duplicate, and values out of range. */
        public Scatter {
            checkArgument(!shards.isEmpty(), "a fan-out names no shard; name one at least");
            checkArgument(
                    ImmutableSet.copyOf(shards).size() == shards.size(),
                    "a fan-out names a shard twice; name each once");
            checkArgument(topRecords >= 0, "a fan-out asks for %s records; ask for 0 or more", topRecords);
            checkArgument(
                    minCoverage >= 0 && minCoverage <= 1, "the least share %s is not between 0 and 1", minCoverage);
        }

        @Override
        public ImmutableList<String> services() {
            return shards;
        }
    }
}
