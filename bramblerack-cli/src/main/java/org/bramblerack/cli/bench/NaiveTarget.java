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
 * The naive version: asks the first replica of every shard, waits for all, and on failure asks the other in turn until
 * the deadline. It knows no priority, queue, budget or hedge, and connects to every upstream itself.
 */
final class NaiveTarget implements Target {
    private static final int CONNECTIONS = 25;

    private final List<List<HttpUpstreamProtocol>> shards = new ArrayList<>();
    private final List<List<Upstream>> upstreams = new ArrayList<>();
    private final Duration deadline;
    private final AtomicLong next = new AtomicLong();

    NaiveTarget(BenchSystem system, Duration deadline) {
        this.deadline = deadline;
        Service service = Objects.requireNonNull(system.declaration().services().get("search"));
        for (int shard = 0; shard < service.shards(); shard++) {
            shards.add(new ArrayList<>());
            upstreams.add(new ArrayList<>());
        }
        for (Upstream upstream : service.upstreams()) {
            upstreams.get(upstream.shard()).add(upstream);
            shards.get(upstream.shard()).add(new HttpUpstreamProtocol(system.vertx(), upstream, CONNECTIONS));
        }
    }

    @Override
    public void ask(boolean urgent, Consumer<Outcome> done) {
        long deadlineNanos = System.nanoTime() + deadline.toNanos();
        String query = "n" + next.incrementAndGet();
        AtomicInteger left = new AtomicInteger(shards.size());
        AtomicInteger failed = new AtomicInteger();
        for (int shard = 0; shard < shards.size(); shard++) {
            askShard(query, shard, 0, deadlineNanos, covered -> {
                if (!covered) {
                    failed.incrementAndGet();
                }
                if (left.decrementAndGet() == 0) {
                    boolean inTime = System.nanoTime() - deadlineNanos <= 0;
                    done.accept(failed.get() == 0 && inTime ? Outcome.WHOLE : Outcome.REFUSED);
                }
            });
        }
    }

    @Override
    public void close() {
        shards.forEach(replicas -> replicas.forEach(HttpUpstreamProtocol::close));
    }

    private void askShard(String query, int shard, int attempt, long deadlineNanos, Consumer<Boolean> done) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            done.accept(false);
            return;
        }
        int replica = attempt % shards.get(shard).size();
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
        shards.get(shard)
                .get(replica)
                .call(request, Duration.ofNanos(remainingNanos))
                .subscribe()
                .with(outcome -> {
                    if (outcome instanceof LeafOutcome.Replied) {
                        done.accept(true);
                    } else {
                        askShard(query, shard, attempt + 1, deadlineNanos, done);
                    }
                });
    }
}
