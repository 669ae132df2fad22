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
 * Tracks the index versions that the upstreams of one service serve.
 *
 * <p>Invariant: {@link #newest} returns the newest among the versions with the highest coverage, so a version with all
 * shards is always preferred to one that lacks a shard. A version covers a shard if a usable upstream reports that it
 * serves it. A report is kept until it is replaced.
 *
 * <p>Safe for use by many threads. Its lock is the last of the lock order (see {@code docs/DESIGN.md}); nothing is
 * called while it is held. The newest map is cached between changes.
 */
public final class VersionRegistry {
    private final Map<UpstreamName, ReportedVersions> reports = new HashMap<>();
    private Optional<ShardMap> cachedNewest = Optional.empty();
    private boolean cacheValid = true;

    /** Replaces the versions that an upstream reports to serve. */
    public synchronized void record(UpstreamName upstream, ImmutableSet<ServedVersion> served) {
        ReportedVersions known = reportOf(upstream);
        replace(upstream, known, new ReportedVersions(served, known.usable()));
    }

    /** Adds a version that a validated reply of the upstream was computed from. */
    public synchronized void recordReply(UpstreamName upstream, ServedVersion served) {
        ReportedVersions known = reportOf(upstream);
        if (!known.served().contains(served)) {
            ImmutableSet<ServedVersion> more = ImmutableSet.<ServedVersion>builder()
                    .addAll(known.served())
                    .add(served)
                    .build();
            replace(upstream, known, new ReportedVersions(more, known.usable()));
        }
    }

    /** Removes a version that an upstream reported as no longer served. */
    public synchronized void recordGone(UpstreamName upstream, long indexVersion) {
        ReportedVersions known = reportOf(upstream);
        ImmutableSet<ServedVersion> fewer = known.served().stream()
                .filter(served -> served.indexVersion() != indexVersion)
                .collect(ImmutableSet.toImmutableSet());
        replace(upstream, known, new ReportedVersions(fewer, known.usable()));
    }

    /** Sets whether an upstream may get new work; an unknown upstream is usable. */
    public synchronized void setUsable(UpstreamName upstream, boolean usable) {
        ReportedVersions known = reportOf(upstream);
        replace(upstream, known, new ReportedVersions(known.served(), usable));
    }

    /** Removes every upstream that is not among the given ones. */
    public synchronized void retainAll(ImmutableSet<UpstreamName> declared) {
        if (reports.keySet().retainAll(declared)) {
            cacheValid = false;
        }
    }

    /** Returns the upstreams that have an entry. */
    public synchronized ImmutableSet<UpstreamName> known() {
        return ImmutableSet.copyOf(reports.keySet());
    }

    /** Returns the shard map of the version that a new query uses, or empty if no version is known. */
    public synchronized Optional<ShardMap> newest() {
        if (!cacheValid) {
            cachedNewest = newestAfter(Long.MIN_VALUE);
            cacheValid = true;
        }
        return cachedNewest;
    }

    /** Returns the same as {@link #newest}, but only among versions newer than the given one. */
    public synchronized Optional<ShardMap> newestAfter(long indexVersion) {
        TreeMap<Long, VersionCoverage> coverages = new TreeMap<>();
        reports.forEach((upstream, report) -> {
            for (ServedVersion version : report.served()) {
                if (version.indexVersion() > indexVersion) {
                    coverages
                            .computeIfAbsent(version.indexVersion(), unused -> new VersionCoverage())
                            .add(upstream, version, report.usable());
                }
            }
        });
        Optional<Map.Entry<Long, VersionCoverage>> best = Optional.empty();
        for (Map.Entry<Long, VersionCoverage> candidate :
                coverages.descendingMap().entrySet()) {
            if (best.isEmpty()
                    || candidate.getValue().coverage() > best.get().getValue().coverage()) {
                best = Optional.of(candidate);
            }
        }
        return best.map(entry -> entry.getValue().toMap(entry.getKey()));
    }

    private ReportedVersions reportOf(UpstreamName upstream) {
        return reports.getOrDefault(upstream, ReportedVersions.NONE);
    }

    private void replace(UpstreamName upstream, ReportedVersions known, ReportedVersions replacement) {
        reports.put(upstream, replacement);
        if (!known.equals(replacement)) {
            cacheValid = false;
        }
    }

    /** The versions that one upstream serves, and whether it may get new work. */
    private record ReportedVersions(ImmutableSet<ServedVersion> served, boolean usable) {
        static final ReportedVersions NONE = new ReportedVersions(ImmutableSet.of(), true);
    }

    /** The replicas of one version. If upstreams report different shard counts, the largest applies. */
    private static final class VersionCoverage {
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
