package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * Where the requests of a route go.
 *
 * <p>Implementations are immutable and safe for use by many threads.
 */
public sealed interface RouteTarget {
    /** Returns every service that the target may send to. */
    ImmutableList<String> services();

    /** Every request goes to one leaf of one service. */
    record Single(String service) implements RouteTarget {
        /** Refuses a missing name. */
        public Single {
            requireNonNull(service);
        }

        @Override
        public ImmutableList<String> services() {
            return ImmutableList.of(service);
        }
    }

    /** Requests are divided among services in proportion to their weights. */
    record Split(ImmutableList<Share> shares) implements RouteTarget {
        /** Refuses shares whose weights add up to nothing. */
        public Split {
            long sum = shares.stream().mapToLong(Share::weight).sum();
            checkArgument(sum > 0, "the weights of a split add up to %s; give one share a weight above 0", sum);
        }

        @Override
        public ImmutableList<String> services() {
            return shares.stream().map(Share::service).collect(ImmutableList.toImmutableList());
        }
    }

    /** One share of a split. */
    record Share(String service, long weight) {
        /** Refuses a negative weight. */
        public Share {
            requireNonNull(service);
            checkArgument(weight >= 0, "the weight %s of %s is negative", weight, service);
        }
    }

    /**
     * Every request goes to one leaf of every shard, and the answers are merged.
     *
     * @param shards the services that are the shards
     * @param topRecords how many of the greatest records the answer holds
     * @param minCoverage the share of the shards, 0 to 1, below which there is no answer
     */
    record Scatter(ImmutableList<String> shards, int topRecords, double minCoverage) implements RouteTarget {
        /** Refuses a set of shards that is empty or names one twice. */
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
