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
 * Every fault of a leaf call at every step of a query.
 *
 * <p>The rows are the faults, the columns the steps; {@code docs/FAULTS.md} shows the table. After each case the query
 * must have ended exactly once, with an answer that is true or a refusal; {@link QueryRun} checks that along the way.
 */
final class QueryFaultMatrixTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final int SHARDS = 5;
    private static final int TARGET = 2;

    /** What goes wrong with a call. */
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

    /** When it goes wrong. */
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
        QueryAction.SendLeaf target = reach(step, run);
        inflict(fault, target, run);
        long nowNanos = 100 * MILLI;
        while (!run.isOver()) {
            QueryAction.SendLeaf last = run.lastSentTo(TARGET);
            run.sent.stream()
                    .filter(send -> send.shard() != TARGET)
                    .toList()
                    .forEach(send -> run.reply(send, 100 * MILLI));
            if (!run.isOver() && !last.equals(target) && !last.callId().equals(target.callId())) {
                run.reply(last, nowNanos);
            }
            if (!run.isOver()) {
                nowNanos += 5 * MILLI;
                run.wake(nowNanos);
            }
        }
        if (fault == Fault.REPLY_AFTER_THE_END) {
            run.reply(target, QueryRun.DEADLINE_NANOS + MILLI);
        }
        assertThat(run.query.isOver()).isTrue();
        boolean whole = run.answer.isPresent() && run.answer.get().coverage().isWhole();
        boolean honest = whole || (preference == Preference.TIME) == run.answer.isPresent();
        assertThat(honest).isTrue();
    }

    /** Brings the query to the step and returns the call that the fault is to hit. */
    private static QueryAction.SendLeaf reach(Step step, QueryRun run) {
        QueryAction.SendLeaf first = run.sentTo(TARGET);
        switch (step) {
            case FIRST_ATTEMPT -> {
                return first;
            }
            case RETRY -> run.fail(first, LeafFailure.CONNECT_FAILED, MILLI);
            case HEDGE -> {
                run.replyToAllBut(TARGET, MILLI);
                run.wake(60 * MILLI);
            }
            case AFTER_RESTART -> {
                run.service.serve(8);
                run.fail(first, LeafFailure.VERSION_GONE, MILLI);
                run.fail(run.lastSentTo(TARGET), LeafFailure.VERSION_GONE, MILLI);
                assertThat(run.counted).contains(QueryCounter.RESTART);
            }
        }
        QueryAction.SendLeaf target = run.lastSentTo(TARGET);
        assertThat(target.callId()).isNotEqualTo(first.callId());
        return target;
    }

    private static void inflict(Fault fault, QueryAction.SendLeaf target, QueryRun run) {
        long nowNanos = 70 * MILLI;
        FakeService service = run.service;
        switch (fault) {
            case SILENT, REPLY_AFTER_THE_END -> {
                // Nothing comes, or it comes after the end.
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
