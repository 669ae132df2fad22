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
 * <p>Invariant: at most the host's share of connections is open to each upstream, and none before the share's start
 * delay has passed since this process started. Safe for use by many threads.
 */
public final class HolderService {
    private static final Logger LOGGER = System.getLogger(HolderService.class.getName());
    private static final int CONNECTIONS_PER_SLOT = 2;
    private static final Duration REPORT_PERIOD = Duration.ofMillis(500);
    private static final int MAX_FAILED_REPORTS = 3;
    private static final Duration DRAIN_POLL_PERIOD = Duration.ofMillis(100);

    private final String self;
    private final ServiceDirectory directory;
    private final UpstreamProtocol.Factory protocols;
    private final Workers workers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final UpstreamStatusRegistry statusRegistry;
    private final UpstreamHarm harm;
    private final long startedNanos;
    private final Map<UpstreamName, Holding> holdings = new ConcurrentHashMap<>();
    private final Set<HostAndPort> closingAddresses = ConcurrentHashMap.newKeySet();

    /** Creates a service that holds no upstreams until {@link #configure} is called. */
    public HolderService(
            String self,
            ServiceDirectory directory,
            UpstreamProtocol.Factory protocols,
            Workers workers,
            MonotonicClock clock,
            RandomGenerator random,
            UpstreamStatusRegistry statusRegistry,
            UpstreamHarm harm) {
        this.self = self;
        this.directory = directory;
        this.protocols = protocols;
        this.workers = workers;
        this.clock = clock;
        this.random = random;
        this.statusRegistry = statusRegistry;
        this.harm = harm;
        this.startedNanos = clock.nowNanos();
    }

    /** Holds the upstreams that the configuration in force assigns to this host, and releases all others. */
    public synchronized void configure() {
        Set<UpstreamName> assigned = new HashSet<>();
        for (ServiceView view : directory.services()) {
            for (Upstream upstream : view.service().upstreams()) {
                HolderAssignment assignment = view.assignments().get(upstream.name());
                if (assignment != null && assignment.holders().contains(self)) {
                    assigned.add(upstream.name());
                    acquire(upstream, view.service().limits(), assignment.share());
                }
            }
        }
        for (UpstreamName name : new HashMap<>(holdings).keySet()) {
            if (!assigned.contains(name)) {
                release(name);
            }
        }
    }

    /** Submits a call, which fails if this host does not hold its upstream or may not connect to it yet. */
    public void submit(LeafRequest request, Consumer<LeafOutcome> onOutcome) {
        Holding holding = holdings.get(request.upstream());
        if (holding == null) {
            onOutcome.accept(new LeafOutcome.Failed(LeafFailure.HOLDER_UNREACHABLE));
        } else if (!holding.mayConnect(clock.nowNanos())) {
            onOutcome.accept(new LeafOutcome.Failed(LeafFailure.HOLDER_NOT_READY));
        } else if (!harm.maySend(request)) {
            onOutcome.accept(new LeafOutcome.Failed(LeafFailure.HARMFUL));
        } else {
            holding.upstream().submit(request, outcome -> {
                if (outcome instanceof LeafOutcome.Failed failed && failed.failure() == LeafFailure.DRAINING) {
                    statusRegistry.markDraining(request.upstream());
                }
                onOutcome.accept(outcome);
            });
        }
    }

    /** Cancels a call; has no effect if the call has ended. */
    public void cancel(UpstreamName name, String callId) {
        Holding holding = holdings.get(name);
        if (holding != null) {
            holding.upstream().cancel(callId);
        }
    }

    /** Returns the number of calls that are queued or in flight. */
    public int inFlight() {
        return holdings.values().stream()
                .mapToInt(each -> each.upstream().inFlight())
                .sum();
    }

    /** Returns the number of upstreams that this host holds. */
    public int size() {
        return holdings.size();
    }

    /** Closes all connections without waiting for calls in flight. */
    public synchronized void stop() {
        holdings.values().forEach(each -> each.upstream().protocol().close());
        holdings.clear();
    }

    private void acquire(Upstream upstream, UpstreamLimits limits, int share) {
        int slots = Math.min(limits.slots(), share);
        int connections = Math.min(share, CONNECTIONS_PER_SLOT * slots + 1);
        Holding existing = holdings.get(upstream.name());
        if (existing != null && existing.matches(upstream, share)) {
            existing.upstream().setSlots(slots);
            return;
        }
        if (existing != null) {
            release(upstream.name());
        }
        if (closingAddresses.contains(upstream.address())) {
            return;
        }
        HeldUpstream heldUpstream =
                new HeldUpstream(upstream, slots, protocols.connect(upstream, connections), workers, clock, harm);
        long openTimeNanos = startedNanos + HolderAssignment.startDelayNanos(limits);
        Holding holding = new Holding(heldUpstream, share, openTimeNanos);
        holdings.put(upstream.name(), holding);
        long jitterNanos = random.nextLong(REPORT_PERIOD.toNanos());
        workers.runAfter(Math.max(0, openTimeNanos - clock.nowNanos()) + jitterNanos, () -> {
            if (isHeld(holding)) {
                heldUpstream.protocol().openConnections();
                pollReport(holding, 0);
            }
        });
    }

    /** Closes an upstream's connections once its calls have ended; until then no new ones are opened to its address. */
    private void release(UpstreamName name) {
        Holding released = holdings.remove(name);
        if (released != null) {
            statusRegistry.remove(name);
            closingAddresses.add(released.upstream().upstream().address());
            closeWhenIdle(released.upstream());
        }
    }

    private void closeWhenIdle(HeldUpstream upstream) {
        if (upstream.closeIfIdle()) {
            closingAddresses.remove(upstream.upstream().address());
            workers.run(this::configure);
        } else {
            workers.runAfter(DRAIN_POLL_PERIOD.toNanos(), () -> closeWhenIdle(upstream));
        }
    }

    private void pollReport(Holding holding, int failures) {
        if (!isHeld(holding)) {
            return;
        }
        UpstreamName name = holding.upstream().upstream().name();
        holding.upstream()
                .protocol()
                .report()
                .subscribe()
                .with(
                        report -> workers.run(() -> {
                            statusRegistry.record(name, report, true);
                            schedulePoll(holding, 0);
                        }),
                        failure -> workers.run(() -> {
                            if (failures + 1 == MAX_FAILED_REPORTS) {
                                markUnreachable(name);
                            }
                            schedulePoll(holding, failures + 1);
                        }));
    }

    private void markUnreachable(UpstreamName name) {
        LOGGER.log(
                Logger.Level.INFO,
                "upstream {0} no longer answers report requests of {1}; marking it unreachable",
                name,
                self);
        Optional<UpstreamReport> lastReport = statusRegistry.reportOf(name);
        statusRegistry.record(name, lastReport.orElse(new UpstreamReport(false, ImmutableSet.of())), false);
    }

    private void schedulePoll(Holding holding, int failures) {
        long halfNanos = REPORT_PERIOD.toNanos() / 2;
        workers.runAfter(halfNanos + random.nextLong(2 * halfNanos), () -> pollReport(holding, failures));
    }

    private boolean isHeld(Holding holding) {
        return holding.equals(holdings.get(holding.upstream().upstream().name()));
    }

    /** A held upstream with this host's share of its connections and the time from which they may be opened. */
    private record Holding(HeldUpstream upstream, int share, long openTimeNanos) {
        boolean matches(Upstream declared, int declaredShare) {
            return upstream.upstream().address().equals(declared.address()) && share == declaredShare;
        }

        boolean mayConnect(long nowNanos) {
            return nowNanos - openTimeNanos >= 0;
        }
    }
}
