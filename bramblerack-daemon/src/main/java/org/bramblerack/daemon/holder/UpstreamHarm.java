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
    private static final int BEATS_A_REPORT = 4;
    /** Holders of one upstream that see its end within this time have seen the same one. */
    private static final Duration ONE_END = Duration.ofSeconds(10);

    private final HarmfulRequestFilter guard = new HarmfulRequestFilter();
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final Deque<Told> told = new ArrayDeque<>();

    /** Creates a guard that knows of no request. */
    public UpstreamHarm(MonotonicClock clock, InstantSource wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns true if a call may be sent to its upstream. */
    synchronized boolean maySend(LeafRequest request) {
        return guard.permission(() -> fingerprints(request)) != Permission.QUARANTINED;
    }

    /** Notes that an upstream answered a call that it has run. */
    synchronized void survived(LeafRequest request) {
        guard.recordSurvival(fingerprints(request), clock.nowNanos());
    }

    /** Notes that an upstream has ended with calls on it. */
    synchronized void ended(UpstreamName upstream, List<LeafRequest> onIt) {
        long end = wallClock.millis() / ONE_END.toMillis();
        long upstreamStart = Hashing.sha256()
                .hashString(upstream + "\n" + end, StandardCharsets.UTF_8)
                .asLong();
        List<Arrival> arrivals = onIt.stream()
                .map(request -> Arrival.of(fingerprints(request), request.requestId()))
                .distinct()
                .toList();
        int before = guard.locallyRestrictedCount();
        guard.recordLeafEnd(upstreamStart, arrivals, clock.nowNanos());
        sayWhatIsHeldBack(before);
        LOGGER.log(
                Logger.Level.INFO,
                "{0} ended with {1} requests on it; one asks for {2}",
                upstream,
                arrivals.size(),
                arrivals.get(0).fingerprints().path());
    }

    /** Takes what another holder tells. */
    public synchronized void hear(HarmReport report) {
        if (report.getEndedCount() + report.getSurvivedCount() > 0) {
            int before = guard.locallyRestrictedCount();
            guard.applyPeerReport(report, clock.nowNanos());
            sayWhatIsHeldBack(before);
        }
    }

    private void sayWhatIsHeldBack(int before) {
        int now = guard.locallyRestrictedCount();
        if (now != before) {
            LOGGER.log(
                    Logger.Level.INFO,
                    "{0} requests, {1} before, may end upstreams; those that are barred are sent to no upstream from"
                            + " now on",
                    now,
                    before);
        }
    }

    /** Returns what the next heartbeat tells, if anything. */
    public synchronized Optional<HarmReport> nextBeat() {
        guard.takeReport().ifPresent(report -> told.addLast(new Told(report, BEATS_A_REPORT)));
        if (told.isEmpty()) {
            return Optional.empty();
        }
        HarmReport.Builder beat = HarmReport.newBuilder();
        int count = told.size();
        for (int each = 0; each < count; each++) {
            Told next = told.removeFirst();
            beat.mergeFrom(next.report());
            if (next.beatsLeft() > 1) {
                told.addLast(new Told(next.report(), next.beatsLeft() - 1));
            }
        }
        return Optional.of(beat.build());
    }

    private static Fingerprints fingerprints(LeafRequest request) {
        return Fingerprints.of(
                "",
                request.upstream().service().toString(),
                request.operation(),
                "",
                request.body().toByteArray());
    }

    private record Told(HarmReport report, int beatsLeft) {}
}
