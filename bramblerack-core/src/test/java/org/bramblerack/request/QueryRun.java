package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bramblerack.version.Preference;
import org.bramblerack.version.ShardMap;

/** Drives one query step by step and checks its invariants after every step. */
final class QueryRun {
    static final long DEADLINE_NANOS = Duration.ofMillis(200).toNanos();

    final FakeService service;
    final Query query;
    final List<QueryAction.SendLeaf> sent = new ArrayList<>();
    final List<QueryAction.CancelLeaf> cancelled = new ArrayList<>();
    final List<QueryCounter> counters = new ArrayList<>();
    Optional<Answer> answer = Optional.empty();
    Optional<Refusal> refusal = Optional.empty();
    long nextWakeNanos = Long.MAX_VALUE;

    QueryRun(FakeService service, ShardMap pinned, Preference preference, long seed) {
        this.service = service;
        QuerySpec spec = new QuerySpec("q", FakeService.NAME, preference, DEADLINE_NANOS);
        this.query = new Query(spec, pinned, service.tables, new SplittableRandom(seed));
        apply(query.start(0));
    }

    void reply(QueryAction.SendLeaf send, long nowNanos) {
        apply(query.onReply(send.attempt(), service.reply(send), nowNanos));
    }

    void reply(int attempt, LeafReply reply, long nowNanos) {
        apply(query.onReply(attempt, reply, nowNanos));
    }

    void fail(QueryAction.SendLeaf send, LeafFailure failure, long nowNanos) {
        apply(query.onFailure(send.attempt(), failure, nowNanos));
    }

    void wake(long nowNanos) {
        nextWakeNanos = Long.MAX_VALUE;
        apply(query.wake(nowNanos));
    }

    void replyToAllBut(int shard, long nowNanos) {
        for (QueryAction.SendLeaf send : List.copyOf(sent)) {
            if (send.shard() != shard) {
                reply(send, nowNanos);
            }
        }
    }

    QueryAction.SendLeaf lastSent() {
        return sent.get(sent.size() - 1);
    }

    QueryAction.SendLeaf sentTo(int shard) {
        return sent.stream().filter(send -> send.shard() == shard).findFirst().orElseThrow();
    }

    QueryAction.SendLeaf lastSentTo(int shard) {
        return sent.stream()
                .filter(send -> send.shard() == shard)
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    boolean isOver() {
        return answer.isPresent() || refusal.isPresent();
    }

    private void apply(List<QueryAction> actions) {
        boolean wasOver = isOver();
        for (QueryAction action : actions) {
            if (action instanceof QueryAction.SendLeaf send) {
                assertWithMessage("sent after the end").that(wasOver).isFalse();
                sent.add(send);
            } else if (action instanceof QueryAction.CancelLeaf cancel) {
                cancelled.add(cancel);
            } else if (action instanceof QueryAction.Count count) {
                counters.add(count.counter());
            } else if (action instanceof QueryAction.Wake wake) {
                nextWakeNanos = Math.min(nextWakeNanos, wake.atNanos());
            } else if (action instanceof QueryAction.Deliver deliver) {
                assertWithMessage("ended twice").that(isOver()).isFalse();
                answer = Optional.of(deliver.answer());
            } else if (action instanceof QueryAction.Refuse refuse) {
                assertWithMessage("ended twice").that(isOver()).isFalse();
                refusal = Optional.of(refuse.refusal());
            }
        }
        assertThat(query.isOver()).isEqualTo(isOver());
        answer.ifPresent(this::checkAnswer);
    }

    /** Checks that the answer is of one index version, and its coverage exactly the shards with complete replies. */
    private void checkAnswer(Answer delivered) {
        assertThat(delivered.replies()).hasSize(delivered.coverage().coveredCount());
        for (CheckedReply reply : delivered.replies()) {
            assertThat(reply.indexVersion()).isEqualTo(delivered.indexVersion());
            assertThat(reply.payload()).isEqualTo(FakeService.expectedPayload(delivered.indexVersion(), reply.shard()));
            assertThat(delivered.coverage().missing()).doesNotContain(reply.shard());
        }
    }
}
