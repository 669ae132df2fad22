package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.bramblerack.process.UpstreamTable;
import org.bramblerack.request.CheckedReply;
import org.bramblerack.request.LeafReply;
import org.bramblerack.request.Query;
import org.bramblerack.request.QueryAction;
import org.bramblerack.request.QuerySpec;
import org.bramblerack.request.ServiceTables;
import org.bramblerack.version.Preference;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.ShardMap;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.UpstreamName;

/** Measures the time and allocation of {@link Query} for each leaf event, without any I/O. */
final class DecisionsBench implements Bench {
    private static final ImmutableList<Integer> SHARDS = ImmutableList.of(20, 30, 160);
    private static final ServiceName SERVICE = new ServiceName("bench", "search");
    private static final int ROUNDS = 5;
    private static final int EVENTS_PER_ROUND = 2_000_000;
    private static final double MAX_NANOS_PER_EVENT = 2_000;

    @Override
    public String name() {
        return "decisions";
    }

    @Override
    public String summary() {
        return "time and allocation of the query's decisions for each leaf event, at 20, 30 and 160 shards";
    }

    @Override
    public boolean run(Report report, long seed) {
        report.line("decisions: one thread, every reply whole, two events a leaf call (sent, replied), seed %d", seed);
        boolean within = true;
        for (int shards : SHARDS) {
            double bestNanos = Double.MAX_VALUE;
            double worstNanos = 0;
            double bytes = 0;
            for (int round = 0; round <= ROUNDS; round++) {
                ServiceFixture setup = new ServiceFixture(shards, seed);
                long queries = EVENTS_PER_ROUND / (2L * shards);
                long allocated = allocatedBytes();
                long startNanos = System.nanoTime();
                for (long query = 0; query < queries; query++) {
                    setup.runQuery(query);
                }
                double nanos = (System.nanoTime() - startNanos) / (double) (queries * 2 * shards);
                bytes = (allocatedBytes() - allocated) / (double) (queries * 2 * shards);
                if (round > 0) {
                    bestNanos = Math.min(bestNanos, nanos);
                    worstNanos = Math.max(worstNanos, nanos);
                }
            }
            report.line(
                    "%3d shards: %6.0f to %6.0f ns and %5.0f bytes a leaf event (%d rounds)",
                    shards, bestNanos, worstNanos, bytes, ROUNDS);
            report.point("nanos", shards, worstNanos);
            within &= report.checkBound(
                    "worst round at " + shards + " shards", worstNanos, "ns", MAX_NANOS_PER_EVENT, true);
        }
        return within;
    }

    private static long allocatedBytes() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** A service with two replicas of each shard that all serve the same index version. */
    private static final class ServiceFixture {
        private final int shards;
        private final ServiceTables tables;
        private final ShardMap pinned;
        private final SplittableRandom random;
        private final ByteString payload = ByteString.copyFromUtf8("{\"items\":[1,2,3]}");
        private final int checksum = CheckedReply.checksum(payload);
        private long nowNanos;

        ServiceFixture(int shards, long seed) {
            this.shards = shards;
            this.random = new SplittableRandom(seed);
            UpstreamLimits limits = new UpstreamLimits(2, 25, Duration.ofSeconds(10), 5);
            UpstreamTable upstreams = new UpstreamTable("z");
            this.tables = ServiceTables.create(upstreams, limits);
            for (int replica = 0; replica < 2 * shards; replica++) {
                UpstreamName name = new UpstreamName(SERVICE, "s" + replica);
                HostAndPort address = HostAndPort.fromParts("127.0.0.1", 1);
                upstreams.declare(new Upstream(name, replica / 2, "z", address, false), limits, 0);
                tables.versions().recordReply(name, new ServedVersion(7, replica / 2, shards));
            }
            this.pinned = tables.versions().newest().orElseThrow();
        }

        void runQuery(long number) {
            nowNanos += 1_000_000;
            long deadlineNanos = nowNanos + 1_000_000_000;
            QuerySpec spec = new QuerySpec("q" + number, SERVICE, Preference.TIME, deadlineNanos);
            Query query = new Query(spec, pinned, tables, random);
            List<QueryAction> actions = query.start(nowNanos);
            for (QueryAction action : actions) {
                if (action instanceof QueryAction.SendLeaf send) {
                    LeafReply reply = new LeafReply(
                            send.callId(),
                            new ServedVersion(7, send.shard(), shards),
                            payload.size(),
                            checksum,
                            payload);
                    query.onReply(send.attempt(), reply, nowNanos + 500_000);
                }
            }
        }
    }
}
