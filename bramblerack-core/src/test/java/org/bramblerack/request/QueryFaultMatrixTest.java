package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.bramblerack.version.Preference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects every fault of an upstream call at every step of a query, as listed in {@code docs/FAULTS.md}.
 *
 * <p>Each query must end exactly once, with a correct answer or a refusal; {@link QueryRun} checks this at every step.
 */
final class QueryFaultMatrixTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final int SHARDS = 5;
    private static final int TARGET_SHARD = 2;

    /** The injected faults; those with the name of a {@link LeafFailure} are injected as that failure. */
    enum Fault {
        OVERLOADED,
        DRAINING,
        EXPIRED,
        VERSION_GONE,
        CONNECT_FAILED,
        CONNECTION_LOST,
        TIMED_OUT,
        UPSTREAM_ERROR,
        HOLDER_UNREACHABLE,
        HOLDER_LOST,
        HOLDER_NOT_READY,
        QUEUE_FULL,
        CANCELLED,
        SILENT,
        REPLY_OF_ANOTHER_VERSION,
        REPLY_OF_ANOTHER_SHARD,
        REPLY_OF_ANOTHER_CALL,
        REPLY_CUT_SHORT,
        REPLY_TWICE,
        REPLY_AFTER_THE_END
    }

    /** The attempt of the query that the fault is injected into. */
    enum Step {
        FIRST_ATTEMPT,
        RETRY,
        HEDGE,
        AFTER_RESTART
    }

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            for (Step step : Step.values()) {
                for (Preference preference : Preference.values()) {
                    cases.add(Arguments.of(fault, step, preference));
                }
            }
        }
        return cases.stream();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void endsOnceAndTruthfully(Fault fault, Step step, Preference preference) {
        FakeService service = new FakeService(SHARDS);
        QueryRun run = new QueryRun(service, service.serve(7), preference, 3);
        QueryAction.SendLeaf target = advanceTo(step, run);
        inject(fault, target, run);
        long nowNanos = 100 * MILLI_NANOS;
        while (!run.isOver()) {
            QueryAction.SendLeaf last = run.lastSentTo(TARGET_SHARD);
            run.sent.stream()
                    .filter(send -> send.shard() != TARGET_SHARD)
                    .toList()
                    .forEach(send -> run.reply(send, 100 * MILLI_NANOS));
            if (!run.isOver() && !last.equals(target) && !last.callId().equals(target.callId())) {
                run.reply(last, nowNanos);
            }
            if (!run.isOver()) {
                nowNanos += 5 * MILLI_NANOS;
                run.wake(nowNanos);
            }
        }
        if (fault == Fault.REPLY_AFTER_THE_END) {
            run.reply(target, QueryRun.DEADLINE_NANOS + MILLI_NANOS);
        }
        assertThat(run.query.isOver()).isTrue();
        boolean complete = run.answer.isPresent() && run.answer.get().coverage().isWhole();
        boolean endedAsExpected = complete || (preference == Preference.TIME) == run.answer.isPresent();
        assertThat(endedAsExpected).isTrue();
    }

    /** Advances the query to the step and returns the call to inject the fault into. */
    private static QueryAction.SendLeaf advanceTo(Step step, QueryRun run) {
        QueryAction.SendLeaf first = run.sentTo(TARGET_SHARD);
        switch (step) {
            case FIRST_ATTEMPT -> {
                return first;
            }
            case RETRY -> run.fail(first, LeafFailure.CONNECT_FAILED, MILLI_NANOS);
            case HEDGE -> {
                run.replyToAllBut(TARGET_SHARD, MILLI_NANOS);
                run.wake(60 * MILLI_NANOS);
            }
            case AFTER_RESTART -> {
                run.service.serve(8);
                run.fail(first, LeafFailure.VERSION_GONE, MILLI_NANOS);
                run.fail(run.lastSentTo(TARGET_SHARD), LeafFailure.VERSION_GONE, MILLI_NANOS);
                assertThat(run.counters).contains(QueryCounter.RESTART);
            }
        }
        QueryAction.SendLeaf target = run.lastSentTo(TARGET_SHARD);
        assertThat(target.callId()).isNotEqualTo(first.callId());
        return target;
    }

    private static void inject(Fault fault, QueryAction.SendLeaf target, QueryRun run) {
        long nowNanos = 70 * MILLI_NANOS;
        FakeService service = run.service;
        switch (fault) {
            case SILENT, REPLY_AFTER_THE_END -> {
                // No reply arrives before the query ends.
            }
            case REPLY_OF_ANOTHER_VERSION ->
                run.reply(target.attempt(), service.reply(target.callId(), 99, target.shard()), nowNanos);
            case REPLY_OF_ANOTHER_SHARD ->
                run.reply(target.attempt(), service.reply(target.callId(), target.indexVersion(), 0), nowNanos);
            case REPLY_OF_ANOTHER_CALL ->
                run.reply(target.attempt(), service.reply("other", target.indexVersion(), target.shard()), nowNanos);
            case REPLY_CUT_SHORT -> run.reply(target.attempt(), service.truncated(target), nowNanos);
            case REPLY_TWICE -> {
                run.reply(target, nowNanos);
                run.reply(target, nowNanos);
            }
            default -> run.fail(target, LeafFailure.valueOf(fault.name()), nowNanos);
        }
    }
}
