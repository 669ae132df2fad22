package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkState;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.process.UpstreamEvidence;
import org.bramblerack.version.Preference;
import org.bramblerack.version.ShardMap;
import org.bramblerack.version.UpstreamName;

/**
 * The state machine of one query: which replicas to call, when to retry or hedge, and when to finalize the answer.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Every attempt requests the pinned index version, and the answer contains only checked replies of that version.
 *   <li>Exactly one {@link QueryAction.Deliver} or {@link QueryAction.Refuse} is returned, unless the caller
 *       disconnects; nothing is sent afterwards.
 *   <li>A query restarts on a newer index version at most once and then discards all replies of the older one.
 *   <li>A query ends as soon as each shard is covered or abandoned.
 * </ul>
 *
 * <p>Not thread-safe: the owner holds a lock per query, which comes first in the lock order. {@link #wake} takes time
 * linear in the number of shards.
 */
public final class Query {
    private static final int MAX_ATTEMPTS_PER_SHARD = 4;
    private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(10).toNanos();
    /** A service counts as slow, and is not hedged, if more than one in this many shards is late. */
    private static final int SLOW_SERVICE_SHARE_DIVISOR = 4;

    private static final int MIN_LATE_SHARDS_OF_SLOW_SERVICE = 3;

    private final QuerySpec spec;
    private final ServiceTables tables;
    private final RandomGenerator random;
    private final List<Attempt> attempts = new ArrayList<>();
    private ShardMap pinned;
    private Answer.Builder answer;
    private ShardState[] shards;
    private int unfinished;
    private boolean restarted;
    private boolean over;
    private long scheduledWakeNanos = Long.MAX_VALUE;

    /** Creates a query on a pinned index version, to be begun with {@link #start}. */
    public Query(QuerySpec spec, ShardMap pinned, ServiceTables tables, RandomGenerator random) {
        this.spec = spec;
        this.tables = tables;
        this.random = random;
        this.pinned = pinned;
        this.answer = new Answer.Builder(pinned.indexVersion(), pinned.shardCount());
        this.shards = newShards(pinned.shardCount());
        this.unfinished = pinned.shardCount();
    }

    /** Sends the first attempt to every shard. */
    public List<QueryAction> start(long nowNanos) {
        checkState(attempts.isEmpty() && !over, "the query was already started");
        List<QueryAction> actions = new ArrayList<>(2 * pinned.shardCount() + 1);
        tables.budget().deposit(pinned.shardCount());
        callEveryShard(nowNanos, actions);
        return actions;
    }

    /** Handles a reply to an attempt; late and invalid replies are counted and dropped. */
    public List<QueryAction> onReply(int attemptNumber, LeafReply reply, long nowNanos) {
        List<QueryAction> actions = new ArrayList<>(2);
        Attempt attempt = attempts.get(attemptNumber);
        if (attempt.finished || over) {
            actions.add(new QueryAction.Count(QueryCounter.LATE_REPLY));
            return actions;
        }
        Either<LeafFailure, CheckedReply> checked =
                CheckedReply.check(reply, attempt.callId, pinned.indexVersion(), attempt.shard, pinned.shardCount());
        if (checked.isLeft()) {
            actions.add(new QueryAction.Count(QueryCounter.BAD_REPLY));
            if (checked.getLeft() == LeafFailure.WRONG_VERSION) {
                tables.versions().recordReply(attempt.upstream, reply.served());
            }
            fail(attempt, checked.getLeft(), nowNanos, actions);
            return actions;
        }
        acceptReply(attempt, checked.get(), nowNanos, actions);
        return actions;
    }

    /** Handles the failure of an attempt: retries, restarts on a newer version, or abandons the shard. */
    public List<QueryAction> onFailure(int attemptNumber, LeafFailure failure, long nowNanos) {
        List<QueryAction> actions = new ArrayList<>(2);
        Attempt attempt = attempts.get(attemptNumber);
        if (!attempt.finished && !over) {
            fail(attempt, failure, nowNanos, actions);
        }
        return actions;
    }

    /** Sends the retries that are due and hedges late shards; finalizes the answer at the deadline. */
    public List<QueryAction> wake(long nowNanos) {
        List<QueryAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        scheduledWakeNanos = Long.MAX_VALUE;
        if (nowNanos - spec.deadlineNanos() >= 0) {
            finalizeAnswer(nowNanos, actions);
            return actions;
        }
        sendDueRetries(nowNanos, actions);
        if (!over) {
            hedgeLateShards(nowNanos, actions);
            scheduleWake(nowNanos, actions);
        }
        return actions;
    }

    /** Ends the query because its caller disconnected: cancels the calls in flight and delivers nothing. */
    public List<QueryAction> onCallerGone(long nowNanos) {
        List<QueryAction> actions = new ArrayList<>();
        if (!over) {
            over = true;
            cancelAll(nowNanos, actions);
        }
        return actions;
    }

    public boolean isOver() {
        return over;
    }

    public long indexVersion() {
        return pinned.indexVersion();
    }

    private void callEveryShard(long nowNanos, List<QueryAction> actions) {
        for (int shard = 0; shard < pinned.shardCount() && !over; shard++) {
            Optional<UpstreamName> choice =
                    tables.upstreams().choose(pinned.replicas().get(shard), upstream -> true, random, nowNanos);
            if (choice.isPresent()) {
                actions.add(new QueryAction.Count(QueryCounter.FIRST_ATTEMPT));
                send(shard, choice.get(), Attempt.Purpose.FIRST, nowNanos, actions);
            } else {
                abandonShard(shard, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
            }
        }
        if (!over) {
            scheduleWake(nowNanos, actions);
        }
    }

    private void send(
            int shard, UpstreamName upstream, Attempt.Purpose purpose, long nowNanos, List<QueryAction> actions) {
        int number = attempts.size();
        Attempt attempt = new Attempt(shard, upstream, spec.callIdPrefix() + "-" + number, nowNanos, purpose);
        attempts.add(attempt);
        shards[shard].attempts.add(attempt);
        evidenceOf(upstream).ifPresent(UpstreamEvidence::started);
        actions.add(new QueryAction.SendLeaf(
                number,
                attempt.callId,
                upstream,
                shard,
                pinned.indexVersion(),
                spec.deadlineNanos(),
                purpose != Attempt.Purpose.FIRST));
    }

    private void acceptReply(Attempt attempt, CheckedReply reply, long nowNanos, List<QueryAction> actions) {
        long tookNanos = nowNanos - attempt.sentNanos;
        attempt.finished = true;
        evidenceOf(attempt.upstream).ifPresent(evidence -> evidence.succeeded(tookNanos, nowNanos));
        tables.latency().record(tookNanos, nowNanos);
        answer.add(reply);
        ShardState shard = shards[attempt.shard];
        shard.finished = true;
        unfinished--;
        for (Attempt other : shard.attempts) {
            cancel(other, nowNanos, actions);
        }
        if (attempt.purpose == Attempt.Purpose.HEDGE) {
            actions.add(new QueryAction.Count(QueryCounter.HEDGE_WON));
        }
        if (unfinished == 0) {
            finalizeAnswer(nowNanos, actions);
        }
    }

    private void fail(Attempt attempt, LeafFailure failure, long nowNanos, List<QueryAction> actions) {
        attempt.finished = true;
        attempt.failure = failure;
        evidenceOf(attempt.upstream).ifPresent(evidence -> failure.recordIn(evidence, nowNanos));
        if (failure == LeafFailure.VERSION_GONE || failure == LeafFailure.WRONG_VERSION) {
            tables.versions().recordGone(attempt.upstream, pinned.indexVersion());
        }
        ShardState shard = shards[attempt.shard];
        if (shard.hasAttemptInFlight()) {
            return;
        }
        if (failure == LeafFailure.HARMFUL) {
            // A harmful query must not be sent to another upstream.
            abandonShard(attempt.shard, QueryCounter.DENIED_HARMFUL, nowNanos, actions);
            return;
        }
        retry(attempt.shard, nowNanos, actions);
    }

    private void retry(int shardNumber, long nowNanos, List<QueryAction> actions) {
        ShardState shard = shards[shardNumber];
        Optional<UpstreamName> untried = tables.upstreams()
                .choose(pinned.replicas().get(shardNumber), upstream -> !shard.hasTried(upstream), random, nowNanos);
        if (untried.isPresent()) {
            retryWithinBudget(shardNumber, untried.get(), nowNanos, actions);
        } else if (shard.isVersionGoneAtAllTried()) {
            restartOrAbandon(shardNumber, nowNanos, actions);
        } else {
            retryLater(shardNumber, nowNanos, actions);
        }
    }

    private void retryWithinBudget(int shard, UpstreamName upstream, long nowNanos, List<QueryAction> actions) {
        if (!tables.budget().tryWithdraw()) {
            abandonShard(shard, QueryCounter.RETRY_DENIED_BUDGET, nowNanos, actions);
            return;
        }
        actions.add(new QueryAction.Count(QueryCounter.RETRY));
        send(shard, upstream, Attempt.Purpose.RETRY, nowNanos, actions);
    }

    /** Schedules a retry with jittered exponential backoff, unless it would end after the deadline. */
    private void retryLater(int shardNumber, long nowNanos, List<QueryAction> actions) {
        ShardState shard = shards[shardNumber];
        if (shard.attempts.isEmpty() || shard.attempts.size() >= MAX_ATTEMPTS_PER_SHARD) {
            abandonShard(shardNumber, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
            return;
        }
        long backoffNanos = FIRST_BACKOFF_NANOS << (shard.attempts.size() - 1);
        long delayNanos = backoffNanos / 2 + random.nextLong(backoffNanos);
        if (nowNanos + delayNanos + tables.latency().medianNanos() - spec.deadlineNanos() >= 0) {
            abandonShard(shardNumber, QueryCounter.RETRY_DENIED_TIME, nowNanos, actions);
            return;
        }
        shard.retryAtNanos = nowNanos + delayNanos;
        shard.retryScheduled = true;
        scheduleWake(nowNanos, actions);
    }

    private void sendDueRetries(long nowNanos, List<QueryAction> actions) {
        for (int number = 0; number < shards.length && !over; number++) {
            ShardState shard = shards[number];
            if (!shard.finished && shard.retryScheduled && nowNanos - shard.retryAtNanos >= 0) {
                shard.retryScheduled = false;
                Optional<UpstreamName> choice = tables.upstreams()
                        .choose(
                                pinned.replicas().get(number),
                                upstream -> !shard.isVersionGoneAt(upstream),
                                random,
                                nowNanos);
                if (choice.isPresent()) {
                    retryWithinBudget(number, choice.get(), nowNanos, actions);
                } else {
                    abandonShard(number, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
                }
            }
        }
    }

    private void hedgeLateShards(long nowNanos, List<QueryAction> actions) {
        long lateAfterNanos = tables.latency().lateNanos();
        List<Attempt> late = new ArrayList<>();
        for (ShardState shard : shards) {
            shard.lateAttempt(lateAfterNanos, nowNanos).ifPresent(late::add);
        }
        late.forEach(attempt -> attempt.hedgeNotBeforeNanos = nowNanos + lateAfterNanos / 2);
        if (late.size() >= MIN_LATE_SHARDS_OF_SLOW_SERVICE
                && late.size() * SLOW_SERVICE_SHARE_DIVISOR > shards.length) {
            actions.add(new QueryAction.Count(QueryCounter.HEDGE_DENIED_SLOW_SERVICE));
            return;
        }
        late.forEach(attempt -> hedge(attempt, nowNanos, actions));
    }

    private void hedge(Attempt late, long nowNanos, List<QueryAction> actions) {
        Optional<UpstreamName> other = tables.upstreams()
                .chooseIdle(
                        pinned.replicas().get(late.shard),
                        upstream -> !upstream.equals(late.upstream),
                        random,
                        nowNanos);
        if (other.isEmpty()) {
            actions.add(new QueryAction.Count(QueryCounter.HEDGE_DENIED_BUSY));
        } else if (!tables.budget().tryWithdraw()) {
            actions.add(new QueryAction.Count(QueryCounter.HEDGE_DENIED_BUDGET));
        } else {
            actions.add(new QueryAction.Count(QueryCounter.HEDGE));
            send(late.shard, other.get(), Attempt.Purpose.HEDGE, nowNanos, actions);
        }
    }

    private void restartOrAbandon(int shard, long nowNanos, List<QueryAction> actions) {
        Optional<ShardMap> newer =
                restarted ? Optional.empty() : tables.versions().newestAfter(pinned.indexVersion());
        boolean inTime = nowNanos + tables.latency().quantileNanos() - spec.deadlineNanos() < 0;
        if (newer.isEmpty() || !inTime) {
            abandonShard(shard, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
            return;
        }
        restarted = true;
        cancelAll(nowNanos, actions);
        pinned = newer.get();
        answer = new Answer.Builder(pinned.indexVersion(), pinned.shardCount());
        shards = newShards(pinned.shardCount());
        unfinished = pinned.shardCount();
        actions.add(new QueryAction.Count(QueryCounter.RESTART));
        callEveryShard(nowNanos, actions);
    }

    private void abandonShard(int shard, QueryCounter reason, long nowNanos, List<QueryAction> actions) {
        actions.add(new QueryAction.Count(reason));
        shards[shard].finished = true;
        unfinished--;
        if (unfinished == 0) {
            finalizeAnswer(nowNanos, actions);
        }
    }

    private void finalizeAnswer(long nowNanos, List<QueryAction> actions) {
        over = true;
        cancelAll(nowNanos, actions);
        Coverage coverage = answer.coverage();
        if (coverage.isWhole() || (spec.preference() == Preference.TIME && coverage.coveredCount() > 0)) {
            actions.add(new QueryAction.Deliver(answer.build()));
        } else if (!attempts.isEmpty() && attempts.stream().allMatch(Attempt::isHarmful)) {
            actions.add(new QueryAction.Refuse(Refusal.of(
                    RefusalKind.HARMFUL,
                    "not run: queries like this one ended the upstreams of " + spec.service()
                            + " that ran them; ask the operator")));
        } else if (coverage.coveredCount() == 0) {
            actions.add(new QueryAction.Refuse(Refusal.of(
                    RefusalKind.NO_ANSWER,
                    "no shard of " + spec.service() + " answered in time; send the query again")));
        } else {
            actions.add(new QueryAction.Refuse(Refusal.of(
                    RefusalKind.INCOMPLETE,
                    "only " + coverage + " shards of " + spec.service()
                            + " answered and the class prefers coverage; send the query again, missing shards: "
                            + coverage.missing())));
        }
    }

    private void cancelAll(long nowNanos, List<QueryAction> actions) {
        for (Attempt attempt : attempts) {
            cancel(attempt, nowNanos, actions);
        }
    }

    private void cancel(Attempt attempt, long nowNanos, List<QueryAction> actions) {
        if (attempt.finished) {
            return;
        }
        attempt.finished = true;
        long waitedNanos = nowNanos - attempt.sentNanos;
        evidenceOf(attempt.upstream).ifPresent(evidence -> {
            if (nowNanos - spec.deadlineNanos() >= 0) {
                evidence.failed(nowNanos);
            } else {
                evidence.abandoned(waitedNanos, nowNanos);
            }
        });
        actions.add(new QueryAction.Count(QueryCounter.CANCEL));
        actions.add(new QueryAction.CancelLeaf(attempt.callId, attempt.upstream));
    }

    private void scheduleWake(long nowNanos, List<QueryAction> actions) {
        long next = spec.deadlineNanos();
        long lateAfterNanos = tables.latency().lateNanos();
        for (ShardState shard : shards) {
            next = earlier(next, shard.nextCheckNanos(lateAfterNanos).orElse(next));
        }
        next = nowNanos - next > 0 ? nowNanos : next;
        if (scheduledWakeNanos == Long.MAX_VALUE || next - scheduledWakeNanos < 0) {
            scheduledWakeNanos = next;
            actions.add(new QueryAction.Wake(next));
        }
    }

    private Optional<UpstreamEvidence> evidenceOf(UpstreamName upstream) {
        return tables.upstreams().find(upstream);
    }

    private static long earlier(long leftNanos, long rightNanos) {
        return leftNanos - rightNanos < 0 ? leftNanos : rightNanos;
    }

    private static ShardState[] newShards(int count) {
        ShardState[] states = new ShardState[count];
        for (int shard = 0; shard < count; shard++) {
            states[shard] = new ShardState();
        }
        return states;
    }
}
