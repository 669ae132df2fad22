package org.bramblerack.cli.bench;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.bramblerack.daemon.holder.HttpUpstreamProtocol;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.standin.StandInFleet;
import org.bramblerack.version.Priority;
import org.bramblerack.version.Service;
import org.bramblerack.version.Upstream;

/**
 * A baseline without the tier: calls the first replica of every shard, waits for all replies, and after a failure
 * retries the other replicas in turn until the deadline. It has no priorities, queues, retry budget or hedging, and
 * connects to every upstream itself.
 */
final class BaselineTarget implements Target {
    private static final int MAX_CONNECTIONS = 25;

    private final List<List<HttpUpstreamProtocol>> clients = new ArrayList<>();
    private final List<List<Upstream>> upstreams = new ArrayList<>();
    private final Duration deadline;
    private final AtomicLong queryCounter = new AtomicLong();

    BaselineTarget(BenchSystem system, Duration deadline) {
        this.deadline = deadline;
        Service service = Objects.requireNonNull(system.declaration().services().get("search"));
        for (int shard = 0; shard < service.shards(); shard++) {
            clients.add(new ArrayList<>());
            upstreams.add(new ArrayList<>());
        }
        for (Upstream upstream : service.upstreams()) {
            upstreams.get(upstream.shard()).add(upstream);
            clients.get(upstream.shard()).add(new HttpUpstreamProtocol(system.vertx(), upstream, MAX_CONNECTIONS));
        }
    }

    @Override
    public void send(boolean urgent, Consumer<Outcome> done) {
        long deadlineNanos = System.nanoTime() + deadline.toNanos();
        String query = "n" + queryCounter.incrementAndGet();
        AtomicInteger pending = new AtomicInteger(clients.size());
        AtomicInteger failed = new AtomicInteger();
        for (int shard = 0; shard < clients.size(); shard++) {
            callShard(query, shard, 0, deadlineNanos, covered -> {
                if (!covered) {
                    failed.incrementAndGet();
                }
                if (pending.decrementAndGet() == 0) {
                    boolean inTime = System.nanoTime() - deadlineNanos <= 0;
                    done.accept(failed.get() == 0 && inTime ? Outcome.COMPLETE : Outcome.REFUSED);
                }
            });
        }
    }

    @Override
    public void close() {
        clients.forEach(replicas -> replicas.forEach(HttpUpstreamProtocol::close));
    }

    private void callShard(String query, int shard, int attempt, long deadlineNanos, Consumer<Boolean> done) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            done.accept(false);
            return;
        }
        int replica = attempt % clients.get(shard).size();
        LeafRequest request = new LeafRequest(
                query + "-" + shard + "-" + attempt,
                query,
                upstreams.get(shard).get(replica).name(),
                shard,
                StandInFleet.FIRST_VERSION,
                Priority.NORMAL,
                deadlineNanos,
                "",
                ByteString.EMPTY);
        clients.get(shard)
                .get(replica)
                .call(request, Duration.ofNanos(remainingNanos))
                .subscribe()
                .with(outcome -> {
                    if (outcome instanceof LeafOutcome.Replied) {
                        done.accept(true);
                    } else {
                        callShard(query, shard, attempt + 1, deadlineNanos, done);
                    }
                });
    }
}
