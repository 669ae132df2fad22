package org.bramblerack.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import java.time.Duration;
import org.bramblerack.process.UpstreamTable;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.ShardMap;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.UpstreamName;

/** A service with two replicas per shard, its tables, and the replies of its upstreams. */
final class FakeService {
    static final ServiceName NAME = new ServiceName("partner", "service");
    static final UpstreamLimits LIMITS = new UpstreamLimits(2, 25, Duration.ofSeconds(10), 5);

    final UpstreamTable upstreams = new UpstreamTable("zone-a");
    final ServiceTables tables;
    final int shardCount;

    FakeService(int shards, UpstreamLimits limits) {
        this.shardCount = shards;
        this.tables = ServiceTables.create(upstreams, limits);
        for (int shard = 0; shard < shards; shard++) {
            for (String replica : ImmutableList.of("a", "b")) {
                HostAndPort address = HostAndPort.fromParts("10.0.0.1", 1000 + shard);
                upstreams.declare(
                        new Upstream(name(shard, replica), shard, "zone-" + replica, address, false), limits, 0);
            }
        }
    }

    FakeService(int shards) {
        this(shards, LIMITS);
    }

    static UpstreamName name(int shard, String replica) {
        return new UpstreamName(NAME, "s" + shard + replica);
    }

    /** Records that every replica serves the index version, and returns its shard map. */
    ShardMap serve(long indexVersion) {
        for (int shard = 0; shard < shardCount; shard++) {
            for (String replica : ImmutableList.of("a", "b")) {
                tables.versions().recordReply(name(shard, replica), new ServedVersion(indexVersion, shard, shardCount));
            }
        }
        return tables.versions().newest().orElseThrow();
    }

    void removeVersion(long indexVersion) {
        for (int shard = 0; shard < shardCount; shard++) {
            for (String replica : ImmutableList.of("a", "b")) {
                tables.versions().recordGone(name(shard, replica), indexVersion);
            }
        }
    }

    static ByteString expectedPayload(long indexVersion, int shard) {
        return ByteString.copyFromUtf8("v" + indexVersion + "s" + shard);
    }

    LeafReply reply(QueryAction.SendLeaf send) {
        return reply(send.callId(), send.indexVersion(), send.shard());
    }

    LeafReply reply(String callId, long indexVersion, int shard) {
        ByteString payload = expectedPayload(indexVersion, shard);
        return new LeafReply(
                callId,
                new ServedVersion(indexVersion, shard, shardCount),
                payload.size(),
                CheckedReply.checksum(payload),
                payload);
    }

    LeafReply truncated(QueryAction.SendLeaf send) {
        LeafReply complete = reply(send);
        return new LeafReply(
                complete.replyTo(),
                complete.served(),
                complete.declaredLengthBytes(),
                complete.declaredChecksum(),
                complete.payload().substring(1));
    }

    static ImmutableSet<String> payloads(Answer answer) {
        return answer.replies().stream()
                .map(reply -> reply.payload().toStringUtf8())
                .collect(ImmutableSet.toImmutableSet());
    }
}
