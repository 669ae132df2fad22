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
 * The decisions of one query: whom to ask, when to ask again, and when to seal the answer.
 *
 * <p>Invariants: every attempt asks for the pinned index version and the answer is built from checked replies of it
 * alone. Exactly one {@link QueryAction.Deliver} or {@link QueryAction.Refuse} is returned, unless the caller goes
 * away; after it nothing is sent. A query restarts on a newer version at most once, and then keeps nothing of the older
 * one. A query whose shards are all covered or given up is over at once.
 *
 * <p>Not safe for use by several threads: the caller holds a lock of its own for each query, which comes first in the
 * lock order. An event costs time in proportion to the shards only when the query wakes.
 */
public final class Query {
    private static final int MAX_ATTEMPTS_PER_SHARD = 4;
    private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(10).toNanos();
    private static final int SLOW_SERVICE_DIVISOR = 4;
    private static final int LEAST_LATE_TO_SUSPECT = 3;

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
    private long armedWakeNanos = Long.MAX_VALUE;

    /** Creates a query on a pinned version; nothing is asked before {@link #start}. */
    public Query(QuerySpec spec, ShardMap pinned, ServiceTables tables, RandomGenerator random) {
        this.spec = spec;
        this.tables = tables;
        this.random = random;
        this.pinned = pinned;
        this.answer = new Answer.Builder(pinned.indexVersion(), pinned.shardCount());
        this.shards = newShards(pinned.shardCount());
        this.unfinished = pinned.shardCount();
    }

    /** Begins: one attempt on every shard. */
    public List<QueryAction> start(long nowNanos) {
        checkState(attempts.isEmpty() && !over, "the query was started before");
        List<QueryAction> actions = new ArrayList<>(2 * pinned.shardCount() + 1);
        tables.budget().deposit(pinned.shardCount());
        askEveryShard(nowNanos, actions);
        return actions;
    }

    /** Takes a reply as it arrived. */
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
        cover(attempt, checked.get(), nowNanos, actions);
        return actions;
    }

    /** Takes the failure of an attempt. */
    public List<QueryAction> onFailure(int attemptNumber, LeafFailure failure, long nowNanos) {
        List<QueryAction> actions = new ArrayList<>(2);
        Attempt attempt = attempts.get(attemptNumber);
        if (!attempt.finished && !over) {
            fail(attempt, failure, nowNanos, actions);
        }
        return actions;
    }

    /** Looks at the time: hedges what is late, retries what is due, and seals when the deadline has come. */
    public List<QueryAction> wake(long nowNanos) {
        List<QueryAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        armedWakeNanos = Long.MAX_VALUE;
        if (nowNanos - spec.deadlineNanos() >= 0) {
            seal(nowNanos, actions);
            return actions;
        }
        retryDue(nowNanos, actions);
        if (!over) {
            hedgeLate(nowNanos, actions);
            armWake(nowNanos, actions);
        }
        return actions;
    }

    /** Ends the query because its caller went away: cancels what is in flight and delivers nothing. */
    public List<QueryAction> onCallerGone(long nowNanos) {
        List<QueryAction> actions = new ArrayList<>();
        if (!over) {
            over = true;
            cancelAll(nowNanos, actions);
        }
        return actions;
    }

    /** Returns true once the query has delivered, refused or lost its caller. */
    public boolean isOver() {
        return over;
    }

    /** Returns the pinned index version. */
    public long indexVersion() {
        return pinned.indexVersion();
    }

    private void askEveryShard(long nowNanos, List<QueryAction> actions) {
        for (int shard = 0; shard < pinned.shardCount() && !over; shard++) {
            Optional<UpstreamName> choice =
                    tables.upstreams().choose(pinned.replicas().get(shard), upstream -> true, random, nowNanos);
            if (choice.isPresent()) {
                actions.add(new QueryAction.Count(QueryCounter.FIRST_ATTEMPT));
                send(shard, choice.get(), Attempt.Purpose.FIRST, nowNanos, actions);
            } else {
                giveUp(shard, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
            }
        }
        if (!over) {
            armWake(nowNanos, actions);
        }
    }

    private void send(
            int shard, UpstreamName upstream, Attempt.Purpose purpose, long nowNanos, List<QueryAction> actions) {
        int number = attempts.size();
        Attempt attempt = new Attempt(shard, upstream, spec.callPrefix() + "-" + number, nowNanos, purpose);
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

    private void cover(Attempt attempt, CheckedReply reply, long nowNanos, List<QueryAction> actions) {
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
            seal(nowNanos, actions);
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
            // No other upstream may have it either.
            giveUp(attempt.shard, QueryCounter.DENIED_HARMFUL, nowNanos, actions);
            return;
        }
        retry(attempt.shard, nowNanos, actions);
    }

    private void retry(int shardNumber, long nowNanos, List<QueryAction> actions) {
        ShardState shard = shards[shardNumber];
        Optional<UpstreamName> untried = tables.upstreams()
                .choose(pinned.replicas().get(shardNumber), upstream -> !shard.hasTried(upstream), random, nowNanos);
        if (untried.isPresent()) {
            spendOnRetry(shardNumber, untried.get(), nowNanos, actions);
        } else if (shard.isVersionGone()) {
            restartOrGiveUp(shardNumber, nowNanos, actions);
        } else {
            retryLater(shardNumber, nowNanos, actions);
        }
    }

    private void spendOnRetry(int shard, UpstreamName upstream, long nowNanos, List<QueryAction> actions) {
        if (!tables.budget().tryWithdraw()) {
            giveUp(shard, QueryCounter.RETRY_DENIED_BUDGET, nowNanos, actions);
            return;
        }
        actions.add(new QueryAction.Count(QueryCounter.RETRY));
        send(shard, upstream, Attempt.Purpose.RETRY, nowNanos, actions);
    }

    /** Every replica failed once: try again after a delay, if that can still be in time. */
    private void retryLater(int shardNumber, long nowNanos, List<QueryAction> actions) {
        ShardState shard = shards[shardNumber];
        if (shard.attempts.isEmpty() || shard.attempts.size() >= MAX_ATTEMPTS_PER_SHARD) {
            giveUp(shardNumber, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
            return;
        }
        long backoffNanos = FIRST_BACKOFF_NANOS << (shard.attempts.size() - 1);
        long delayNanos = backoffNanos / 2 + random.nextLong(backoffNanos);
        if (nowNanos + delayNanos + tables.latency().medianNanos() - spec.deadlineNanos() >= 0) {
            giveUp(shardNumber, QueryCounter.RETRY_DENIED_TIME, nowNanos, actions);
            return;
        }
        shard.retryAtNanos = nowNanos + delayNanos;
        shard.retryDue = true;
        armWake(nowNanos, actions);
    }

    private void retryDue(long nowNanos, List<QueryAction> actions) {
        for (int number = 0; number < shards.length && !over; number++) {
            ShardState shard = shards[number];
            if (!shard.finished && shard.retryDue && nowNanos - shard.retryAtNanos >= 0) {
                shard.retryDue = false;
                Optional<UpstreamName> choice = tables.upstreams()
                        .choose(
                                pinned.replicas().get(number),
                                upstream -> !shard.foundVersionGoneAt(upstream),
                                random,
                                nowNanos);
                if (choice.isPresent()) {
                    spendOnRetry(number, choice.get(), nowNanos, actions);
                } else {
                    giveUp(number, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
                }
            }
        }
    }

    private void hedgeLate(long nowNanos, List<QueryAction> actions) {
        long lateNanos = tables.latency().lateNanos();
        List<Attempt> late = new ArrayList<>();
        for (ShardState shard : shards) {
            shard.lateAttempt(lateNanos, nowNanos).ifPresent(late::add);
        }
        late.forEach(attempt -> attempt.hedgeNotBeforeNanos = nowNanos + lateNanos / 2);
        if (late.size() >= LEAST_LATE_TO_SUSPECT && late.size() * SLOW_SERVICE_DIVISOR > shards.length) {
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

    private void restartOrGiveUp(int shard, long nowNanos, List<QueryAction> actions) {
        Optional<ShardMap> newer =
                restarted ? Optional.empty() : tables.versions().newestAfter(pinned.indexVersion());
        boolean inTime = nowNanos + tables.latency().quantileNanos() - spec.deadlineNanos() < 0;
        if (newer.isEmpty() || !inTime) {
            giveUp(shard, QueryCounter.RETRY_DENIED_NO_REPLICA, nowNanos, actions);
            return;
        }
        restarted = true;
        cancelAll(nowNanos, actions);
        pinned = newer.get();
        answer = new Answer.Builder(pinned.indexVersion(), pinned.shardCount());
        shards = newShards(pinned.shardCount());
        unfinished = pinned.shardCount();
        actions.add(new QueryAction.Count(QueryCounter.RESTART));
        askEveryShard(nowNanos, actions);
    }

    private void giveUp(int shard, QueryCounter reason, long nowNanos, List<QueryAction> actions) {
        actions.add(new QueryAction.Count(reason));
        shards[shard].finished = true;
        unfinished--;
        if (unfinished == 0) {
            seal(nowNanos, actions);
        }
    }

    private void seal(long nowNanos, List<QueryAction> actions) {
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

    private void armWake(long nowNanos, List<QueryAction> actions) {
        long next = spec.deadlineNanos();
        long lateNanos = tables.latency().lateNanos();
        for (ShardState shard : shards) {
            next = earlier(next, shard.nextLookNanos(lateNanos).orElse(next));
        }
        next = nowNanos - next > 0 ? nowNanos : next;
        if (armedWakeNanos == Long.MAX_VALUE || next - armedWakeNanos < 0) {
            armedWakeNanos = next;
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
