package org.bramblerack.version;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What is known of the index versions that the upstreams of one service serve.
 *
 * <p>Invariant: {@link #newest} returns the newest among the versions of the highest coverage, so a version that every
 * shard is known to serve always goes before one that lacks a shard. A statement is kept until it is replaced. A shard
 * counts as covered by a version if a usable upstream states that it serves it.
 *
 * <p>Safe for use by many threads. Its lock is the last of the lock order (see {@code docs/DESIGN.md}); nothing is
 * called while it is held. The newest map is kept between changes, so that a look-up costs one lock.
 */
public final class VersionRegistry {
    private final Map<UpstreamName, Statement> statements = new HashMap<>();
    private Optional<ShardMap> cachedNewest = Optional.empty();
    private boolean cached = true;

    /** Replaces what an upstream states that it serves. */
    public synchronized void record(UpstreamName upstream, ImmutableSet<ServedVersion> served) {
        Statement known = statementOf(upstream);
        replace(upstream, known, new Statement(served, known.usable()));
    }

    /** Adds a version that a checked reply showed to be served. */
    public synchronized void recordReply(UpstreamName upstream, ServedVersion served) {
        Statement known = statementOf(upstream);
        if (!known.served().contains(served)) {
            ImmutableSet<ServedVersion> more = ImmutableSet.<ServedVersion>builder()
                    .addAll(known.served())
                    .add(served)
                    .build();
            replace(upstream, known, new Statement(more, known.usable()));
        }
    }

    /** Removes a version that an upstream said it no longer serves. */
    public synchronized void recordGone(UpstreamName upstream, long indexVersion) {
        Statement known = statementOf(upstream);
        ImmutableSet<ServedVersion> fewer = known.served().stream()
                .filter(served -> served.indexVersion() != indexVersion)
                .collect(ImmutableSet.toImmutableSet());
        replace(upstream, known, new Statement(fewer, known.usable()));
    }

    /** States whether an upstream may get new work; one that is not known yet may. */
    public synchronized void setUsable(UpstreamName upstream, boolean usable) {
        Statement known = statementOf(upstream);
        replace(upstream, known, new Statement(known.served(), usable));
    }

    /** Forgets every upstream that is not among the given ones. */
    public synchronized void retainAll(ImmutableSet<UpstreamName> declared) {
        if (statements.keySet().retainAll(declared)) {
            cached = false;
        }
    }

    /** Returns the upstreams that stated anything. */
    public synchronized ImmutableSet<UpstreamName> known() {
        return ImmutableSet.copyOf(statements.keySet());
    }

    /** Returns the map of the version to pin for a new query, or empty if no version is known. */
    public synchronized Optional<ShardMap> newest() {
        if (!cached) {
            cachedNewest = newestAfter(Long.MIN_VALUE);
            cached = true;
        }
        return cachedNewest;
    }

    /** Returns the same as {@link #newest} among the versions newer than the given one. */
    public synchronized Optional<ShardMap> newestAfter(long indexVersion) {
        TreeMap<Long, VersionTally> tallies = new TreeMap<>();
        statements.forEach((upstream, statement) -> {
            for (ServedVersion version : statement.served()) {
                if (version.indexVersion() > indexVersion) {
                    tallies.computeIfAbsent(version.indexVersion(), unused -> new VersionTally())
                            .add(upstream, version, statement.usable());
                }
            }
        });
        Optional<Map.Entry<Long, VersionTally>> best = Optional.empty();
        for (Map.Entry<Long, VersionTally> candidate : tallies.descendingMap().entrySet()) {
            if (best.isEmpty()
                    || candidate.getValue().coverage() > best.get().getValue().coverage()) {
                best = Optional.of(candidate);
            }
        }
        return best.map(entry -> entry.getValue().toMap(entry.getKey()));
    }

    private Statement statementOf(UpstreamName upstream) {
        return statements.getOrDefault(upstream, Statement.NONE);
    }

    private void replace(UpstreamName upstream, Statement known, Statement replacement) {
        statements.put(upstream, replacement);
        if (!known.equals(replacement)) {
            cached = false;
        }
    }

    /** What one upstream serves, and whether it may get new work. */
    private record Statement(ImmutableSet<ServedVersion> served, boolean usable) {
        static final Statement NONE = new Statement(ImmutableSet.of(), true);
    }

    /** The replicas of one version. Upstreams that disagree on the number of shards go by the largest. */
    private static final class VersionTally {
        private final List<List<UpstreamName>> shards = new ArrayList<>();
        private final List<Boolean> covered = new ArrayList<>();

        void add(UpstreamName upstream, ServedVersion version, boolean usable) {
            while (shards.size() < version.shardCount()) {
                shards.add(new ArrayList<>());
                covered.add(false);
            }
            shards.get(version.shard()).add(upstream);
            if (usable) {
                covered.set(version.shard(), true);
            }
        }

        double coverage() {
            long count = covered.stream().filter(isCovered -> isCovered).count();
            return (double) count / shards.size();
        }

        ShardMap toMap(long indexVersion) {
            return new ShardMap(
                    indexVersion,
                    shards.stream().map(ImmutableList::sortedCopyOf).collect(ImmutableList.toImmutableList()));
        }
    }
}
