package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.peer.PeerFailure;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.HostCapacity;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.request.routed.HolderChoice;
import org.bramblerack.request.routed.StageAttempt;
import org.bramblerack.request.routed.StagePlanner;
import org.bramblerack.request.routed.StageTiming;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.Ping;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageCancel;
import org.bramblerack.wire.StageGrant;
import org.jspecify.annotations.Nullable;

/**
 * The links to the hosts that call shards on behalf of this host.
 *
 * <p>Links are probed to detect failed hosts early and to measure round-trip times. A host that failed is not called
 * for a while. Owned by the event loop.
 */
final class StageLinks {
    private static final EventLog EVENTS = EventLog.of(StageLinks.class);
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(700);
    /** Covers the round trip between regions that opening a link takes. */
    private static final Duration PROBE_DELAY_AFTER_CHANGE = Duration.ofMillis(50);

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);
    private static final long SUSPECT_NANOS = Duration.ofSeconds(2).toNanos();
    /** A round trip between regions, used until one has been measured. */
    private static final long INITIAL_ROUND_TRIP_NANOS = Duration.ofMillis(25).toNanos();

    private static final double ROUND_TRIP_SMOOTHING = 0.3;
    private final FleetView view;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final Map<String, Link> links = new HashMap<>();
    private long lastCallNumber;
    private boolean probesScheduled;
    private @Nullable ScheduledFuture<?> probing;

    StageLinks(FleetView view, PeerNetwork network, MonotonicClock clock, EventLoop loop, RandomGenerator random) {
        this.view = view;
        this.network = network;
        this.clock = clock;
        this.loop = loop;
        this.random = random;
    }

    void start() {
        probing = loop.scheduleWithFixedDelay(
                this::probe, PROBE_INTERVAL.toMillis(), PROBE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Schedules two probes after hosts joined or left; the first opens the links, the second measures them. Changes in
     * a series are batched.
     */
    void onHostsChanged() {
        if (!probesScheduled) {
            probesScheduled = true;
            loop.schedule(this::probe, PROBE_DELAY_AFTER_CHANGE.toMillis(), TimeUnit.MILLISECONDS);
            loop.schedule(
                    () -> {
                        probesScheduled = false;
                        probe();
                    },
                    2 * PROBE_DELAY_AFTER_CHANGE.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    void stop() {
        if (probing != null) {
            probing.cancel(false);
        }
    }

    /**
     * Divides the shards of a query between this host and others; see {@link StagePlanner#plan}.
     *
     * @param skippedHosts the hosts that the calling host skipped
     */
    ImmutableList<StageAttempt> plan(
            ImmutableList<PermittedLeaves> pools,
            long expectedNanos,
            long hedgeDelayNanos,
            StagePlanner.Relays relays,
            Collection<String> skippedHosts) {
        StagePlanner planner = new StagePlanner(new FleetTopology(ImmutableSet.copyOf(skippedHosts)), random);
        return planner.plan(pools, expectedNanos, hedgeDelayNanos, relays, clock.nowNanos());
    }

    private ImmutableList<String> hostsIn(String region) {
        return view.entryHosts().stream()
                .filter(host -> host.getRegion().equals(region))
                .map(HostRecord::getPeerAddress)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the link to the first of some hosts that can be called now and is not lagging; empty if this host should
     * call the leaf itself, for example as the backup of the hosts before it. A host that was never contacted counts as
     * usable: after a restart of the whole fleet no host has been contacted yet, and calling leaves directly would open
     * connections from every host to every leaf.
     *
     * @param skippedHosts the hosts that the calling host skipped; they count if this host is their backup
     */
    Optional<Link> firstUsable(List<String> hosts, String leafId, HomeRegions homes, Collection<String> skippedHosts) {
        if (hosts.isEmpty()) {
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        return HolderChoice.choose(hosts, skippedHosts, new HolderChoice.HostView() {
                    @Override
                    public boolean isSelf(String host) {
                        return view.isSelf(host);
                    }

                    @Override
                    public boolean isUsable(String host) {
                        return mayReceive(host, homes)
                                && link(host).mayBeCalled(nowNanos)
                                && link(host).mayReach(leafId, nowNanos);
                    }

                    @Override
                    public boolean isLagging(String host) {
                        return StageLinks.this.isLagging(link(host), nowNanos);
                    }
                })
                .map(this::link);
    }

    private boolean isLagging(Link link, long nowNanos) {
        return view.routing().uses(RoutingFeature.HOST_ROOM) && link.capacity.isLagging(nowNanos);
    }

    /** Returns the hosts that are not used now because they lag or do not answer. */
    ImmutableSet<String> skippedHosts() {
        long nowNanos = clock.nowNanos();
        return links.values().stream()
                .filter(link -> !link.mayBeCalled(nowNanos) || isLagging(link, nowNanos))
                .map(Link::host)
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Sends a call to another host. All such calls go through this method, which is the last check that the host may
     * receive the body.
     *
     * @param homes the regions that may receive the body
     * @param message creates the call once the link is connected
     * @param onProgress receives the progress that the host reports before its reply
     */
    Uni<Envelope> callStage(
            Link link,
            HomeRegions homes,
            Supplier<StageCall.Builder> message,
            Duration timeout,
            Consumer<Envelope> onProgress) {
        if (!mayReceive(link.host, homes)) {
            return Uni.createFrom()
                    .failure(new PeerFailure(
                            PeerFailure.Kind.NOT_SENT, link.host + " is in no region that may serve the request"));
        }
        return network.requestWhenConnected(
                link.host, () -> Envelope.newBuilder().setStageCall(message.get()), timeout, onProgress);
    }

    private boolean mayReceive(String host, HomeRegions homes) {
        return homes.isUnrestricted()
                || view.regionOf(host).filter(homes::allows).isPresent();
    }

    /** Returns a number that is unique among the calls of this host. */
    long nextCallNumber() {
        return ++lastCallNumber;
    }

    /** Notifies a host that the result of a call is no longer needed. */
    void cancel(Link link, long call) {
        network.send(
                link.host,
                Envelope.newBuilder().setStageCancel(StageCancel.newBuilder().setCall(call)));
    }

    /** Notifies a host that a call is no longer needed unless it was sent to a leaf. */
    void withdraw(Link link, long call) {
        network.send(
                link.host,
                Envelope.newBuilder()
                        .setStageCancel(StageCancel.newBuilder().setCall(call).setUnlessSent(true)));
    }

    /** Sends the reply to a host's request for attempts. If it is lost, the attempts are not made. */
    void answerAttemptRequest(Link link, StageGrant.Builder grant) {
        network.send(link.host, Envelope.newBuilder().setStageGrant(grant));
    }

    /** Returns the state of the link to a host, which is created if absent. */
    Link link(String host) {
        return links.computeIfAbsent(host, unused -> new Link(host));
    }

    /**
     * Probes the links that may be needed: in a fleet that uses holders, those to holders that are not confirmed to
     * answer; otherwise those to every host in another region.
     */
    void probe() {
        boolean throughHolders = view.usesHolders();
        Set<String> probedHosts = throughHolders ? view.holders() : hostsInOtherRegions();
        links.keySet().removeIf(host -> !probedHosts.contains(host));
        for (String host : probedHosts) {
            Link link = link(host);
            if (throughHolders && link.confirmed) {
                continue;
            }
            long sentNanos = clock.nowNanos();
            network.request(host, Envelope.newBuilder().setPing(Ping.getDefaultInstance()), PROBE_TIMEOUT)
                    .subscribe()
                    .with(
                            reply -> link.recordRoundTrip(clock.nowNanos() - sentNanos),
                            failure -> onProbeFailure(link, failure));
        }
    }

    private Set<String> hostsInOtherRegions() {
        Set<String> hosts = new HashSet<>();
        for (HostRecord host : view.entryHosts()) {
            if (!host.getRegion().equals(view.location().region())) {
                hosts.add(host.getPeerAddress());
            }
        }
        return hosts;
    }

    private void onProbeFailure(Link link, Throwable failure) {
        boolean notSent = failure instanceof PeerFailure peer && peer.kind() == PeerFailure.Kind.NOT_SENT;
        if (!notSent) {
            // The connection or the host is stuck: the next probe opens a new connection.
            link.suspect(clock.nowNanos());
            network.disconnect(link.host);
        }
    }

    /** The view of the links that the planner uses. */
    private final class FleetTopology implements StagePlanner.Topology {
        private final ImmutableSet<String> skippedHosts;

        FleetTopology(ImmutableSet<String> passedOver) {
            this.skippedHosts = passedOver;
        }

        @Override
        public Optional<String> holderOf(Leaf leaf, HomeRegions homes) {
            return firstUsable(view.holdersOf(leaf), leaf.id(), homes, skippedHosts)
                    .map(Link::host);
        }

        @Override
        public Optional<String> otherRegionOf(String host) {
            return view.otherRegionOf(host);
        }

        @Override
        public String regionOf(Leaf leaf) {
            return view.leafRecord(leaf.id())
                    .map(record -> view.location().regionOf(record.getZone()))
                    .orElse("");
        }

        @Override
        public long silenceTimeoutNanos(String host, long hedgeDelayNanos) {
            return StageTiming.silenceTimeoutNanos(hedgeDelayNanos, link(host).roundTripNanos);
        }

        @Override
        public boolean isLagging(String host) {
            return StageLinks.this.isLagging(link(host), clock.nowNanos());
        }

        @Override
        public Optional<String> leastBusyIn(String region) {
            ImmutableList<String> hosts = hostsIn(region);
            if (hosts.isEmpty()) {
                return Optional.empty();
            }
            long nowNanos = clock.nowNanos();
            Link least = null;
            int start = random.nextInt(hosts.size());
            for (int offset = 0; offset < hosts.size(); offset++) {
                Link link = link(hosts.get((start + offset) % hosts.size()));
                if (link.isUsable(nowNanos) && (least == null || link.inFlight < least.inFlight)) {
                    least = link;
                }
            }
            return Optional.ofNullable(least).map(Link::host);
        }
    }

    /** The state of the link to one host. */
    static final class Link {
        private final String host;
        private long roundTripNanos = INITIAL_ROUND_TRIP_NANOS;
        private long suspectedUntilNanos = Long.MIN_VALUE / 2;
        /** False until the first answer or failure. */
        private boolean contacted;

        private boolean confirmed;
        private final Map<String, Long> unreachableUntilNanos = new HashMap<>();
        private final HostCapacity capacity = new HostCapacity();
        private int inFlight;

        private Link(String host) {
            this.host = host;
        }

        String host() {
            return host;
        }

        boolean isUsable(long nowNanos) {
            return confirmed && nowNanos - suspectedUntilNanos >= 0;
        }

        /** Records that the host has no connection to a leaf, or does not know it yet. */
        void recordUnreachable(String leafId, long nowNanos) {
            unreachableUntilNanos.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
            unreachableUntilNanos.put(leafId, nowNanos + SUSPECT_NANOS);
        }

        boolean mayReach(String leafId, long nowNanos) {
            Long untilNanos = unreachableUntilNanos.get(leafId);
            return untilNanos == null || nowNanos - untilNanos >= 0;
        }

        boolean mayBeCalled(long nowNanos) {
            return !contacted || isUsable(nowNanos);
        }

        long roundTripNanos() {
            return roundTripNanos;
        }

        void onCallStarted() {
            inFlight++;
        }

        void onCallEnded() {
            inFlight--;
        }

        /** Records the event-loop lag that the host reported. */
        void recordLag(long lagMicros, long nowNanos) {
            boolean before = capacity.isLagging(nowNanos);
            capacity.record(TimeUnit.MICROSECONDS.toNanos(lagMicros), nowNanos);
            if (capacity.isLagging(nowNanos) != before) {
                EVENTS.info(before ? "host_caught_up" : "host_behind")
                        .with("host", host)
                        .with("lagMicros", lagMicros)
                        .write();
            }
        }

        void suspect(long nowNanos) {
            if (confirmed) {
                EVENTS.info("host_suspected").with("host", host).write();
            }
            suspectedUntilNanos = nowNanos + SUSPECT_NANOS;
            contacted = true;
            confirmed = false;
        }

        private void recordRoundTrip(long measuredNanos) {
            if (!confirmed) {
                EVENTS.info("host_answers")
                        .with("host", host)
                        .with("tookMicros", TimeUnit.NANOSECONDS.toMicros(measuredNanos))
                        .write();
            }
            contacted = true;
            confirmed = true;
            roundTripNanos += (long) (ROUND_TRIP_SMOOTHING * (measuredNanos - roundTripNanos));
        }
    }
}
