package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.bramblerack.daemon.holder.UpstreamHarm;
import org.bramblerack.daemon.holder.UpstreamStatusRegistry;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MembershipTable;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.version.UpstreamReport;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.Heartbeat;
import org.bramblerack.wire.UpstreamStatus;

/**
 * Sends and receives heartbeats, which carry a host's state, its configuration revision and the status of its
 * upstreams.
 *
 * <p>Heartbeats are sent periodically and shortly after each change. Safe for use by many threads.
 */
final class Heartbeats {
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final long COALESCING_DELAY_NANOS = Duration.ofMillis(50).toNanos();

    private final String self;
    private final String zone;
    private final long incarnation;
    private final PeerNetwork network;
    private final MembershipTable membership;
    private final ServiceDirectory directory;
    private final UpstreamStatusRegistry statusRegistry;
    private final UpstreamHarm harm;
    private final Workers workers;
    private final MonotonicClock clock;
    private final Supplier<Boolean> leaving;
    private final Map<String, PeerState> lastPeerStates = new ConcurrentHashMap<>();
    private boolean sendScheduled;

    Heartbeats(
            String self,
            String zone,
            long incarnation,
            PeerNetwork network,
            MembershipTable membership,
            ServiceDirectory directory,
            UpstreamStatusRegistry statusRegistry,
            UpstreamHarm harm,
            Workers workers,
            MonotonicClock clock,
            Supplier<Boolean> leaving) {
        this.self = self;
        this.zone = zone;
        this.incarnation = incarnation;
        this.network = network;
        this.membership = membership;
        this.directory = directory;
        this.statusRegistry = statusRegistry;
        this.harm = harm;
        this.workers = workers;
        this.clock = clock;
        this.leaving = leaving;
    }

    void start() {
        statusRegistry.setOnChange(this::scheduleSend);
        workers.runEvery(PERIOD, this::sendToAll);
    }

    /** Schedules a heartbeat after a short delay, within which further changes are combined into it. */
    void scheduleSend() {
        synchronized (this) {
            if (sendScheduled) {
                return;
            }
            sendScheduled = true;
        }
        workers.runAfter(COALESCING_DELAY_NANOS, () -> {
            synchronized (this) {
                sendScheduled = false;
            }
            sendToAll();
        });
    }

    void receive(Heartbeat heartbeat) {
        membership.record(
                heartbeat.getHost(),
                heartbeat.getIncarnation(),
                heartbeat.getLeaving(),
                heartbeat.getRevisionServed(),
                clock.nowNanos());
        harm.applyPeerReport(heartbeat.getHarm());
        heartbeat.getUpstreamsList().forEach(status -> recordStatus(heartbeat.getHost(), status));
        PeerState state = new PeerState(heartbeat.getIncarnation(), heartbeat.getRevisionServed());
        if (!state.equals(lastPeerStates.put(heartbeat.getHost(), state))) {
            network.send(
                    heartbeat.getHost(),
                    Envelope.newBuilder().setHeartbeat(buildMessage(statusRegistry.allStatuses())));
        }
    }

    private void sendToAll() {
        Heartbeat.Builder update = buildMessage(statusRegistry.nextHeartbeat()).toBuilder();
        harm.nextHeartbeatReport().ifPresent(update::setHarm);
        Heartbeat message = update.build();
        network.others()
                .forEach(host -> network.send(host, Envelope.newBuilder().setHeartbeat(message)));
    }

    private Heartbeat buildMessage(ImmutableList<UpstreamStatusRegistry.ReportedStatus> statusesToReport) {
        Heartbeat.Builder message = Heartbeat.newBuilder()
                .setHost(self)
                .setZone(zone)
                .setIncarnation(incarnation)
                .setLeaving(leaving.get())
                .setRevisionServed(directory.configuration().revision());
        statusesToReport.forEach(each -> message.addUpstreams(toMessage(each)));
        return message.build();
    }

    private void recordStatus(String holder, UpstreamStatus status) {
        ImmutableSet<ServedVersion> served = status.getVersionsList().stream()
                .filter(version -> version.getShard() >= 0 && version.getShard() < version.getShardCount())
                .map(version ->
                        new ServedVersion(version.getIndexVersion(), version.getShard(), version.getShardCount()))
                .collect(ImmutableSet.toImmutableSet());
        UpstreamName name = new UpstreamName(ServiceName.parse(status.getService()), status.getUpstream());
        directory.recordReport(holder, name, new UpstreamReport(status.getDraining(), served), status.getReachable());
    }

    /** A host that restarted or changed its revision may have discarded the upstream statuses that it had received. */
    private record PeerState(long incarnation, long revision) {}

    private static UpstreamStatus toMessage(UpstreamStatusRegistry.ReportedStatus reported) {
        UpstreamStatus.Builder status = UpstreamStatus.newBuilder()
                .setService(reported.upstream().service().toString())
                .setUpstream(reported.upstream().upstream())
                .setDraining(reported.report().draining())
                .setReachable(reported.reachable());
        reported.report()
                .served()
                .forEach(version -> status.addVersions(org.bramblerack.wire.ServedVersion.newBuilder()
                        .setIndexVersion(version.indexVersion())
                        .setShard(version.shard())
                        .setShardCount(version.shardCount())));
        return status.build();
    }
}
