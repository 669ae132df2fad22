package org.bramblerack.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.process.directory.ServiceView;
import org.bramblerack.request.Admission;
import org.bramblerack.request.Query;
import org.bramblerack.request.QuerySpec;
import org.bramblerack.request.Refusal;
import org.bramblerack.request.RefusalKind;
import org.bramblerack.version.RequestClass;
import org.bramblerack.version.ShardMap;

/**
 * Admits the queries of callers and runs them.
 *
 * <p>Safe for use by many threads: the lock of the admission is the first of the lock order and is never held while a
 * query is run.
 */
public final class QueryRunner {
    private static final long LONGEST_SEAL_MARGIN_NANOS = Duration.ofMillis(3).toNanos();
    private static final int SEAL_MARGIN_DIVISOR = 20;

    private final ServiceDirectory directory;
    private final LeafRouter router;
    private final Workers workers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final HostMetrics metrics;
    private final RequestIds ids;
    private final Admission admission;
    private final ReentrantLock admissionLock = new ReentrantLock();
    private final Map<String, QueryCall> calls = new ConcurrentHashMap<>();

    /** Creates a runner that has at most the given number of queries in flight. */
    public QueryRunner(
            ServiceDirectory directory,
            LeafRouter router,
            Workers workers,
            MonotonicClock clock,
            RandomGenerator random,
            HostMetrics metrics,
            RequestIds ids,
            int maxQueries) {
        this.directory = directory;
        this.router = router;
        this.workers = workers;
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
        this.ids = ids;
        this.admission = new Admission(maxQueries);
    }

    /** A query that was handed in. */
    public interface Handle {
        /** Ends the query, because its caller went away. */
        void callerGone();
    }

    /**
     * Runs a query.
     *
     * @param done gets the result, once
     */
    public Handle run(CallerQuery asked, Consumer<QueryResult> done) {
        Optional<ServiceView> view = directory.find(asked.service());
        if (view.isEmpty()) {
            refuse(done, Refusal.of(RefusalKind.UNKNOWN_SERVICE, unknownService(asked)));
            return () -> {};
        }
        RequestClass requestClass = view.get().service().classes().get(asked.requestClass());
        if (requestClass == null) {
            String message = "the service has no class " + asked.requestClass() + "; use one of "
                    + view.get().service().classes().keySet();
            refuse(done, Refusal.of(RefusalKind.UNKNOWN_CLASS, message));
            return () -> {};
        }
        Duration time = asked.deadline()
                .filter(deadline -> deadline.compareTo(requestClass.deadline()) < 0)
                .orElse(requestClass.deadline());
        long nowNanos = clock.nowNanos();
        long marginNanos = Math.min(LONGEST_SEAL_MARGIN_NANOS, time.toNanos() / SEAL_MARGIN_DIVISOR);
        long sealNanos = nowNanos + time.toNanos() - marginNanos;
        Admission.Ticket ticket = new Admission.Ticket(ids.next(), asked.service(), requestClass.priority(), sealNanos);
        QueryCall call = new QueryCall(asked, requestClass, ticket, nowNanos, done);
        calls.put(ticket.id(), call);
        decide(() -> admission.offer(ticket, clock.nowNanos()));
        workers.runAfter(sealNanos - nowNanos, () -> decide(() -> admission.expire(clock.nowNanos())));
        return () -> workers.run(() -> callerGone(call));
    }

    /** Returns how many queries wait or are in flight. */
    public int inFlight() {
        admissionLock.lock();
        try {
            return admission.inFlight() + admission.waiting();
        } finally {
            admissionLock.unlock();
        }
    }

    private void decide(Supplier<List<Admission.Decision>> event) {
        List<Admission.Decision> decisions;
        admissionLock.lock();
        try {
            decisions = event.get();
        } finally {
            admissionLock.unlock();
        }
        for (Admission.Decision decision : decisions) {
            if (decision instanceof Admission.Decision.Admit admit) {
                begin(admit.ticket());
            } else if (decision instanceof Admission.Decision.Refuse refused) {
                overloaded(refused);
            }
        }
    }

    private void begin(Admission.Ticket ticket) {
        QueryCall call = calls.remove(ticket.id());
        if (call == null) {
            release(ticket, 0);
            return;
        }
        call.admitted(clock.nowNanos());
        Optional<ServiceView> view = directory.find(call.asked().service());
        Optional<ShardMap> pinned =
                view.flatMap(known -> known.tables().versions().newest());
        if (view.isEmpty() || pinned.isEmpty()) {
            String message = "no index version of " + call.asked().service() + " is known yet; send the query again";
            end(call, new QueryResult.Refused(Refusal.of(RefusalKind.NOT_READY, message)));
            return;
        }
        QuerySpec spec = new QuerySpec(
                ticket.id(), call.asked().service(), call.requestClass().preference(), ticket.deadlineNanos());
        Query query = new Query(spec, pinned.get(), view.get().tables(), random);
        RunningQuery running = new RunningQuery(
                query,
                call.asked(),
                call.requestClass().priority(),
                router,
                workers,
                clock,
                metrics,
                result -> end(call, result));
        call.begun(running);
        running.start();
    }

    private void end(QueryCall call, QueryResult result) {
        if (call.end()) {
            long tookNanos = clock.nowNanos() - call.askedNanos();
            metrics.timer("query.time").update(tookNanos, TimeUnit.NANOSECONDS);
            deliver(call::deliver, result);
            release(call.ticket(), clock.nowNanos() - call.begunNanos());
        }
    }

    private void callerGone(QueryCall call) {
        call.cancel();
        if (call.isAdmitted() && call.end()) {
            metrics.count("query.caller-gone");
            release(call.ticket(), clock.nowNanos() - call.begunNanos());
        }
    }

    private void release(Admission.Ticket ticket, long tookNanos) {
        decide(() -> admission.onFinished(ticket, tookNanos, clock.nowNanos()));
    }

    private void overloaded(Admission.Decision.Refuse refused) {
        QueryCall call = calls.remove(refused.ticket().id());
        if (call != null && call.end()) {
            String message = "the host has no room for the query within its deadline; send it again later";
            refuse(call::deliver, Refusal.retryAfter(RefusalKind.OVERLOADED, message, refused.retryAfter()));
        }
    }

    private void refuse(Consumer<QueryResult> done, Refusal refusal) {
        deliver(done, new QueryResult.Refused(refusal));
    }

    private void deliver(Consumer<QueryResult> done, QueryResult result) {
        if (result instanceof QueryResult.Refused refused) {
            metrics.count(refused.refusal().kind());
        }
        done.accept(result);
    }

    private String unknownService(CallerQuery asked) {
        return "the service " + asked.service() + " is not declared in revision "
                + directory.configuration().revision() + "; check its name or apply its declaration";
    }
}
