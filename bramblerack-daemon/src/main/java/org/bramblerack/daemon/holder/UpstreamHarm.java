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
 * Keeps requests that end upstreams from those whose connections this host holds, by what it saw and what other holders
 * tell in their heartbeats.
 *
 * <p>There is no agreed order of trials here: a request that may have been a bystander is let through, one that is
 * barred is not. Safe for use by many threads; its lock is the innermost.
 */
public final class UpstreamHarm {
    private static final Logger LOGGER = System.getLogger(UpstreamHarm.class.getName());
    /** In how many beats a report is told, so that a lost one costs little. */
    private static final int HEARTBEATS_PER_REPORT = 4;
    /** Holders of one upstream that see its end within this time have seen the same one. */
    private static final Duration SAME_END_WINDOW = Duration.ofSeconds(10);

    private final HarmfulRequestFilter filter = new HarmfulRequestFilter();
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final Deque<PendingReport> pendingReports = new ArrayDeque<>();

    /** Creates a guard that knows of no request. */
    public UpstreamHarm(MonotonicClock clock, InstantSource wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns true if a call may be sent to its upstream. */
    synchronized boolean maySend(LeafRequest request) {
        return filter.permission(() -> fingerprints(request)) != Permission.QUARANTINED;
    }

    /** Notes that an upstream answered a call that it has run. */
    synchronized void recordSurvival(LeafRequest request) {
        filter.recordSurvival(fingerprints(request), clock.nowNanos());
    }

    /** Notes that an upstream has ended with calls on it. */
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
                "{0} ended with {1} requests on it; one asks for {2}",
                upstream,
                arrivals.size(),
                arrivals.get(0).fingerprints().path());
    }

    /** Takes what another holder tells. */
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
                    "{0} requests, {1} before, may end upstreams; those that are barred are sent to no upstream from"
                            + " now on",
                    count,
                    previousCount);
        }
    }

    /** Returns what the next heartbeat tells, if anything. */
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
