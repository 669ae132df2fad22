package org.bramblerack.daemon.holder;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.connection.HolderAssignment;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.process.directory.ServiceView;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.version.UpstreamReport;

/**
 * The upstreams whose connections this host holds.
 *
 * <p>Invariant: to each upstream at most the host's share of connections is open, and none before the start delay of
 * the share has passed in this process's life. Safe for use by many threads.
 */
public final class HolderService {
    private static final Logger LOGGER = System.getLogger(HolderService.class.getName());
    private static final int CONNECTIONS_PER_SLOT = 2;
    private static final Duration REPORT_PERIOD = Duration.ofMillis(500);
    private static final int FAILED_REPORTS_TO_COUNT_AS_LOST = 3;
    private static final Duration DRAIN_CHECK = Duration.ofMillis(100);

    private final String self;
    private final ServiceDirectory directory;
    private final UpstreamProtocol.Factory protocols;
    private final Workers workers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final StatusBoard statuses;
    private final UpstreamHarm harm;
    private final long startedNanos;
    private final Map<UpstreamName, Held> held = new ConcurrentHashMap<>();
    private final Set<HostAndPort> closing = ConcurrentHashMap.newKeySet();

    /** Creates the service; it holds nothing before the first configuration. */
    public HolderService(
            String self,
            ServiceDirectory directory,
            UpstreamProtocol.Factory protocols,
            Workers workers,
            MonotonicClock clock,
            RandomGenerator random,
            StatusBoard statuses,
            UpstreamHarm harm) {
        this.self = self;
        this.directory = directory;
        this.protocols = protocols;
        this.workers = workers;
        this.clock = clock;
        this.random = random;
        this.statuses = statuses;
        this.harm = harm;
        this.startedNanos = clock.nowNanos();
    }

    /** Takes over what the configuration in force assigns to this host. */
    public synchronized void configure() {
        Set<UpstreamName> wanted = new HashSet<>();
        for (ServiceView view : directory.services()) {
            for (Upstream upstream : view.service().upstreams()) {
                HolderAssignment assignment = view.assignments().get(upstream.name());
                if (assignment != null && assignment.holders().contains(self)) {
                    wanted.add(upstream.name());
                    hold(upstream, view.service().limits(), assignment.share());
                }
            }
        }
        for (UpstreamName name : new HashMap<>(held).keySet()) {
            if (!wanted.contains(name)) {
                release(name);
            }
        }
    }

    /** Takes a call for an upstream that this host holds. */
    public void submit(LeafRequest request, Consumer<LeafOutcome> done) {
        Held target = held.get(request.upstream());
        if (target == null) {
            done.accept(new LeafOutcome.Failed(LeafFailure.HOLDER_UNREACHABLE));
        } else if (!target.mayOpen(clock.nowNanos())) {
            done.accept(new LeafOutcome.Failed(LeafFailure.HOLDER_NOT_READY));
        } else if (!harm.maySend(request)) {
            done.accept(new LeafOutcome.Failed(LeafFailure.HARMFUL));
        } else {
            target.upstream().submit(request, outcome -> {
                if (outcome instanceof LeafOutcome.Failed failed && failed.failure() == LeafFailure.DRAINING) {
                    statuses.markDraining(request.upstream());
                }
                done.accept(outcome);
            });
        }
    }

    /** Cancels a call, if it is still there. */
    public void cancel(UpstreamName name, String callId) {
        Held target = held.get(name);
        if (target != null) {
            target.upstream().cancel(callId);
        }
    }

    /** Returns how many calls wait or are in flight. */
    public int inFlight() {
        return held.values().stream()
                .mapToInt(each -> each.upstream().inFlight())
                .sum();
    }

    /** Returns how many upstreams this host holds. */
    public int size() {
        return held.size();
    }

    /** Closes every connection. */
    public synchronized void stop() {
        held.values().forEach(each -> each.upstream().protocol().close());
        held.clear();
    }

    private void hold(Upstream upstream, UpstreamLimits limits, int share) {
        int slots = Math.min(limits.slots(), share);
        int connections = Math.min(share, CONNECTIONS_PER_SLOT * slots + 1);
        Held known = held.get(upstream.name());
        if (known != null && known.isFor(upstream, share)) {
            known.upstream().setSlots(slots);
            return;
        }
        if (known != null) {
            release(upstream.name());
        }
        if (closing.contains(upstream.address())) {
            return;
        }
        HeldUpstream fresh =
                new HeldUpstream(upstream, slots, protocols.connect(upstream, connections), workers, clock, harm);
        long openAtNanos = startedNanos + HolderAssignment.startDelayNanos(limits);
        Held added = new Held(fresh, share, openAtNanos);
        held.put(upstream.name(), added);
        long spreadNanos = random.nextLong(REPORT_PERIOD.toNanos());
        workers.runAfter(Math.max(0, openAtNanos - clock.nowNanos()) + spreadNanos, () -> {
            if (isHeld(added)) {
                fresh.protocol().warm();
                report(added, 0);
            }
        });
    }

    /** Ends holding an upstream once its calls have ended; until then its address is not connected to anew. */
    private void release(UpstreamName name) {
        Held released = held.remove(name);
        if (released != null) {
            statuses.forget(name);
            closing.add(released.upstream().upstream().address());
            closeWhenIdle(released.upstream());
        }
    }

    private void closeWhenIdle(HeldUpstream upstream) {
        if (upstream.inFlight() == 0) {
            upstream.protocol().close();
            closing.remove(upstream.upstream().address());
            workers.run(this::configure);
        } else {
            workers.runAfter(DRAIN_CHECK.toNanos(), () -> closeWhenIdle(upstream));
        }
    }

    private void report(Held target, int failures) {
        if (!isHeld(target)) {
            return;
        }
        UpstreamName name = target.upstream().upstream().name();
        target.upstream()
                .protocol()
                .report()
                .subscribe()
                .with(
                        report -> workers.run(() -> {
                            statuses.record(name, report, true);
                            reportLater(target, 0);
                        }),
                        failure -> workers.run(() -> {
                            if (failures + 1 == FAILED_REPORTS_TO_COUNT_AS_LOST) {
                                lost(name);
                            }
                            reportLater(target, failures + 1);
                        }));
    }

    private void lost(UpstreamName name) {
        LOGGER.log(Logger.Level.INFO, "{0} no longer reports to {1}", name, self);
        Optional<UpstreamReport> last = statuses.reportOf(name);
        statuses.record(name, last.orElse(new UpstreamReport(false, ImmutableSet.of())), false);
    }

    private void reportLater(Held target, int failures) {
        long halfNanos = REPORT_PERIOD.toNanos() / 2;
        workers.runAfter(halfNanos + random.nextLong(2 * halfNanos), () -> report(target, failures));
    }

    private boolean isHeld(Held target) {
        return target.equals(held.get(target.upstream().upstream().name()));
    }

    /** An upstream that is held, and the terms on which it is. */
    private record Held(HeldUpstream upstream, int share, long openAtNanos) {
        boolean isFor(Upstream declared, int declaredShare) {
            return upstream.upstream().address().equals(declared.address()) && share == declaredShare;
        }

        boolean mayOpen(long nowNanos) {
            return nowNanos - openAtNanos >= 0;
        }
    }
}
