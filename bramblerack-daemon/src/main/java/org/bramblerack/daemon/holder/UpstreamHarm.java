package org.bramblerack.daemon.holder;

import com.google.common.hash.Hashing;
import java.lang.System.Logger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.harm.Arrival;
import org.bramblerack.process.harm.Fingerprints;
import org.bramblerack.process.harm.HarmfulRequestFilter;
import org.bramblerack.process.harm.Permission;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.wire.HarmReport;

/**
 * Blocks requests that crash upstreams from those that this host holds, based on local evidence and on the evidence
 * that other holders report in their heartbeats.
 *
 * <p>Trials of suspect requests are not coordinated between holders: only quarantined requests are blocked, suspect
 * ones are sent. Safe for use by many threads. Lock order: this object's lock is acquired last.
 */
public final class UpstreamHarm {
    private static final Logger LOGGER = System.getLogger(UpstreamHarm.class.getName());
    /** Each report is repeated in several heartbeats, to tolerate lost messages. */
    private static final int HEARTBEATS_PER_REPORT = 4;
    /** Ends of an upstream that its holders detect within the same window are counted as one. */
    private static final Duration SAME_END_WINDOW = Duration.ofSeconds(10);

    private final HarmfulRequestFilter filter = new HarmfulRequestFilter();
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final Deque<PendingReport> pendingReports = new ArrayDeque<>();

    /** Creates a filter without evidence, which permits all requests. */
    public UpstreamHarm(MonotonicClock clock, InstantSource wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns true unless the request is quarantined. */
    synchronized boolean maySend(LeafRequest request) {
        return filter.permission(() -> fingerprints(request)) != Permission.QUARANTINED;
    }

    /** Records that an upstream ran a request and answered it. */
    synchronized void recordSurvival(LeafRequest request) {
        filter.recordSurvival(fingerprints(request), clock.nowNanos());
    }

    /** Records that an upstream process ended while the given calls were in flight. */
    synchronized void recordUpstreamEnd(UpstreamName upstream, List<LeafRequest> callsInFlight) {
        long endWindow = wallClock.millis() / SAME_END_WINDOW.toMillis();
        long upstreamStart = Hashing.sha256()
                .hashString(upstream + "\n" + endWindow, StandardCharsets.UTF_8)
                .asLong();
        List<Arrival> arrivals = callsInFlight.stream()
                .map(request -> Arrival.of(fingerprints(request), request.requestId()))
                .distinct()
                .toList();
        int previousCount = filter.locallyRestrictedCount();
        filter.recordLeafEnd(upstreamStart, arrivals, clock.nowNanos());
        logRestrictedCountChange(previousCount);
        LOGGER.log(
                Logger.Level.INFO,
                "upstream {0} ended with {1} requests in flight, one of them for {2}",
                upstream,
                arrivals.size(),
                arrivals.get(0).fingerprints().path());
    }

    /** Applies the evidence that another holder reported. */
    public synchronized void applyPeerReport(HarmReport report) {
        if (report.getEndedCount() + report.getSurvivedCount() > 0) {
            int previousCount = filter.locallyRestrictedCount();
            filter.applyPeerReport(report, clock.nowNanos());
            logRestrictedCountChange(previousCount);
        }
    }

    private void logRestrictedCountChange(int previousCount) {
        int count = filter.locallyRestrictedCount();
        if (count != previousCount) {
            LOGGER.log(
                    Logger.Level.INFO,
                    "{0} requests (previously {1}) are suspected of ending upstreams; quarantined ones are no longer"
                            + " sent",
                    count,
                    previousCount);
        }
    }

    /** Returns the evidence to include in the next heartbeat, if any. */
    public synchronized Optional<HarmReport> nextHeartbeatReport() {
        filter.takeReport()
                .ifPresent(report -> pendingReports.addLast(new PendingReport(report, HEARTBEATS_PER_REPORT)));
        if (pendingReports.isEmpty()) {
            return Optional.empty();
        }
        HarmReport.Builder merged = HarmReport.newBuilder();
        int count = pendingReports.size();
        for (int each = 0; each < count; each++) {
            PendingReport next = pendingReports.removeFirst();
            merged.mergeFrom(next.report());
            if (next.heartbeatsLeft() > 1) {
                pendingReports.addLast(new PendingReport(next.report(), next.heartbeatsLeft() - 1));
            }
        }
        return Optional.of(merged.build());
    }

    private static Fingerprints fingerprints(LeafRequest request) {
        return Fingerprints.of(
                "",
                request.upstream().service().toString(),
                request.operation(),
                "",
                request.body().toByteArray());
    }

    private record PendingReport(HarmReport report, int heartbeatsLeft) {}
}
