package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.bramblerack.version.Preference;
import org.bramblerack.version.ShardMap;
import org.bramblerack.version.UpstreamLimits;
import org.junit.jupiter.api.Test;

final class QueryTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final int SHARDS = 4;

    private final FakeService service = new FakeService(SHARDS);
    private final ShardMap pinned = service.serve(7);

    @Test
    void callsEveryShardOnceAndDeliversTheCompleteAnswer() {
        QueryRun run = run(Preference.TIME);
        run.sent.forEach(send -> assertThat(send.indexVersion()).isEqualTo(7));
        for (QueryAction.SendLeaf send : List.copyOf(run.sent)) {
            run.reply(send, MILLI_NANOS);
        }
        assertThat(run.sent).hasSize(SHARDS);
        assertThat(run.answer.orElseThrow().coverage().isWhole()).isTrue();
    }

    @Test
    void hedgesALateShardAtTheOtherReplicaAndCancelsTheSlowerCall() {
        QueryRun run = run(Preference.TIME);
        QueryAction.SendLeaf late = run.sentTo(2);
        run.replyToAllBut(2, MILLI_NANOS);
        run.wake(60 * MILLI_NANOS);
        QueryAction.SendLeaf hedge = run.lastSent();
        assertThat(hedge.shard()).isEqualTo(2);
        assertThat(hedge.upstream()).isNotEqualTo(late.upstream());
        run.reply(hedge, 61 * MILLI_NANOS);
        assertThat(run.answer).isPresent();
        assertThat(run.cancelled).containsExactly(new QueryAction.CancelLeaf(late.callId(), late.upstream()));
        assertThat(run.counters).contains(QueryCounter.HEDGE_WON);
    }

    @Test
    void doesNotHedgeWhenTheServiceAsAWholeIsSlow() {
        QueryRun run = run(Preference.TIME);
        run.wake(60 * MILLI_NANOS);
        assertThat(run.sent).hasSize(SHARDS);
        assertThat(run.counters).contains(QueryCounter.HEDGE_DENIED_SLOW_SERVICE);
    }

    @Test
    void doesNotHedgeAtABusyReplica() {
        QueryRun run = run(Preference.TIME);
        QueryAction.SendLeaf late = run.sentTo(1);
        for (String replica : List.of("a", "b")) {
            service.upstreams.find(FakeService.name(1, replica)).orElseThrow().started();
            service.upstreams.find(FakeService.name(1, replica)).orElseThrow().started();
        }
        run.replyToAllBut(1, MILLI_NANOS);
        run.wake(60 * MILLI_NANOS);
        assertThat(run.lastSent().shard()).isNotEqualTo(late.shard());
        assertThat(run.counters).contains(QueryCounter.HEDGE_DENIED_BUSY);
    }

    @Test
    void neverSpendsMoreThanTheBudget() {
        FakeService noBudget = new FakeService(SHARDS, new UpstreamLimits(2, 25, Duration.ZERO, 0));
        QueryRun run = new QueryRun(noBudget, noBudget.serve(7), Preference.TIME, 1);
        run.fail(run.sentTo(0), LeafFailure.CONNECT_FAILED, MILLI_NANOS);
        run.replyToAllBut(0, MILLI_NANOS);
        assertThat(run.sent).hasSize(SHARDS);
        assertThat(run.counters).contains(QueryCounter.RETRY_DENIED_BUDGET);
        assertThat(run.answer.orElseThrow().coverage().missing()).containsExactly(0);
    }

    @Test
    void endsAtOnceWhenNothingIsLeftToWaitFor() {
        QueryRun run = run(Preference.COVERAGE);
        run.replyToAllBut(3, MILLI_NANOS);
        for (int attempt = 0; attempt < 4 && !run.isOver(); attempt++) {
            run.fail(run.lastSentTo(3), LeafFailure.CONNECT_FAILED, MILLI_NANOS);
            if (!run.isOver() && run.nextWakeNanos < QueryRun.DEADLINE_NANOS) {
                run.wake(run.nextWakeNanos);
            }
        }
        assertThat(run.refusal.orElseThrow().kind()).isEqualTo(RefusalKind.INCOMPLETE);
        assertThat(run.refusal.orElseThrow().retryAfter()).isPresent();
    }

    @Test
    void refusesAHarmfulQueryAsNotRun() {
        QueryRun run = run(Preference.TIME);
        for (QueryAction.SendLeaf send : List.copyOf(run.sent)) {
            run.fail(send, LeafFailure.HARMFUL, MILLI_NANOS);
        }
        assertThat(run.sent).hasSize(SHARDS);
        assertThat(run.refusal.orElseThrow().kind()).isEqualTo(RefusalKind.HARMFUL);
    }

    @Test
    void restartsOnceOnANewerVersionWhenThePinnedOneVanishes() {
        QueryRun run = run(Preference.TIME);
        QueryAction.SendLeaf first = run.sentTo(0);
        run.reply(run.sentTo(1), MILLI_NANOS);
        service.serve(8);
        run.fail(first, LeafFailure.VERSION_GONE, MILLI_NANOS);
        run.fail(run.lastSent(), LeafFailure.VERSION_GONE, MILLI_NANOS);
        assertThat(run.counters).contains(QueryCounter.RESTART);
        for (QueryAction.SendLeaf send : List.copyOf(run.sent)) {
            run.reply(send, 2 * MILLI_NANOS);
        }
        assertThat(run.answer.orElseThrow().indexVersion()).isEqualTo(8);
        assertThat(run.answer.orElseThrow().coverage().isWhole()).isTrue();
    }

    @Test
    void answersPartiallyAtTheDeadlineIfTheClassPrefersTime() {
        QueryRun run = run(Preference.TIME);
        run.replyToAllBut(2, MILLI_NANOS);
        run.wake(QueryRun.DEADLINE_NANOS);
        assertThat(run.answer.orElseThrow().coverage().missing()).containsExactly(2);
        assertThat(run.cancelled).isNotEmpty();
    }

    @Test
    void refusesAtTheDeadlineIfNoShardAnswered() {
        QueryRun run = run(Preference.TIME);
        run.wake(QueryRun.DEADLINE_NANOS);
        assertThat(run.refusal.orElseThrow().kind()).isEqualTo(RefusalKind.NO_ANSWER);
    }

    @Test
    void cancelsEverythingWhenTheCallerGoesAway() {
        QueryRun run = run(Preference.TIME);
        long cancels = run.query.onCallerGone(MILLI_NANOS).stream()
                .filter(action -> action instanceof QueryAction.CancelLeaf)
                .count();
        assertThat(cancels).isEqualTo(SHARDS);
        assertThat(run.query.onReply(0, service.reply(run.sent.get(0)), MILLI_NANOS))
                .containsExactly(new QueryAction.Count(QueryCounter.LATE_REPLY));
    }

    private QueryRun run(Preference preference) {
        return new QueryRun(service, pinned, preference, 1);
    }
}
