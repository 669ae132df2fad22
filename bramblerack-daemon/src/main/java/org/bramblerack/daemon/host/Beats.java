package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.bramblerack.daemon.holder.StatusBoard;
import org.bramblerack.daemon.holder.UpstreamHarm;
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
 * Heartbeats between hosts: that this host lives or leaves, its revision, and news of the upstreams that it holds.
 *
 * <p>A change is told at once. Safe for use by many threads.
 */
final class Beats {
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final long AT_ONCE_SPACING_NANOS = Duration.ofMillis(50).toNanos();

    private final String self;
    private final String zone;
    private final long incarnation;
    private final PeerNetwork network;
    private final MembershipTable membership;
    private final ServiceDirectory directory;
    private final StatusBoard statuses;
    private final UpstreamHarm harm;
    private final Workers workers;
    private final MonotonicClock clock;
    private final Supplier<Boolean> leaving;
    private final Map<String, Life> livesHeard = new ConcurrentHashMap<>();
    private boolean beatDue;

    Beats(
            String self,
            String zone,
            long incarnation,
            PeerNetwork network,
            MembershipTable membership,
            ServiceDirectory directory,
            StatusBoard statuses,
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
        this.statuses = statuses;
        this.harm = harm;
        this.workers = workers;
        this.clock = clock;
        this.leaving = leaving;
    }

    void start() {
        statuses.setOnChange(this::beatSoon);
        workers.runEvery(PERIOD, this::beat);
    }

    /** Sends a beat at once, together with other changes of the same moment. */
    void beatSoon() {
        synchronized (this) {
            if (beatDue) {
                return;
            }
            beatDue = true;
        }
        workers.runAfter(AT_ONCE_SPACING_NANOS, () -> {
            synchronized (this) {
                beatDue = false;
            }
            beat();
        });
    }

    void receive(Heartbeat beat) {
        membership.record(
                beat.getHost(), beat.getIncarnation(), beat.getLeaving(), beat.getRevisionServed(), clock.nowNanos());
        harm.hear(beat.getHarm());
        beat.getUpstreamsList().forEach(status -> take(beat.getHost(), status));
        Life life = new Life(beat.getIncarnation(), beat.getRevisionServed());
        if (!life.equals(livesHeard.put(beat.getHost(), life))) {
            network.send(beat.getHost(), Envelope.newBuilder().setHeartbeat(message(statuses.everything())));
        }
    }

    private void beat() {
        Heartbeat.Builder news = message(statuses.nextBeat()).toBuilder();
        harm.nextBeat().ifPresent(news::setHarm);
        Heartbeat message = news.build();
        network.others()
                .forEach(host -> network.send(host, Envelope.newBuilder().setHeartbeat(message)));
    }

    private Heartbeat message(ImmutableList<StatusBoard.Told> told) {
        Heartbeat.Builder message = Heartbeat.newBuilder()
                .setHost(self)
                .setZone(zone)
                .setIncarnation(incarnation)
                .setLeaving(leaving.get())
                .setRevisionServed(directory.configuration().revision());
        told.forEach(each -> message.addUpstreams(toMessage(each)));
        return message.build();
    }

    private void take(String holder, UpstreamStatus status) {
        ImmutableSet<ServedVersion> served = status.getVersionsList().stream()
                .filter(version -> version.getShard() >= 0 && version.getShard() < version.getShardCount())
                .map(version ->
                        new ServedVersion(version.getIndexVersion(), version.getShard(), version.getShardCount()))
                .collect(ImmutableSet.toImmutableSet());
        UpstreamName name = new UpstreamName(ServiceName.parse(status.getService()), status.getUpstream());
        directory.recordReport(holder, name, new UpstreamReport(status.getDraining(), served), status.getReachable());
    }

    /** A host that began a life or put a revision in force may have dropped what it was told of upstreams before. */
    private record Life(long incarnation, long revision) {}

    private static UpstreamStatus toMessage(StatusBoard.Told told) {
        UpstreamStatus.Builder status = UpstreamStatus.newBuilder()
                .setService(told.upstream().service().toString())
                .setUpstream(told.upstream().upstream())
                .setDraining(told.report().draining())
                .setReachable(told.reachable());
        told.report()
                .served()
                .forEach(version -> status.addVersions(org.bramblerack.wire.ServedVersion.newBuilder()
                        .setIndexVersion(version.indexVersion())
                        .setShard(version.shard())
                        .setShardCount(version.shardCount())));
        return status.build();
    }
}
