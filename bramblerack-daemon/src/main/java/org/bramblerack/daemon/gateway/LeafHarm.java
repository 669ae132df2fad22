package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.event.LogRateLimiter;
import org.bramblerack.daemon.leaf.CallMonitor;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.harm.Arrival;
import org.bramblerack.process.harm.HarmfulRequestFilter;
import org.bramblerack.process.harm.Permission;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;

/**
 * Blocks quarantined requests from one incarnation of a leaf, and records which requests were in flight when it ended.
 * Owned by the event loop.
 */
final class LeafHarm implements CallMonitor {
    private static final EventLog EVENTS = EventLog.of(LeafHarm.class);

    private final Leaf leaf;
    private final long incarnationHash;
    private final HarmfulRequestFilter filter;
    private final LogLimit logLimit;
    private final MonotonicClock clock;

    /**
     * Creates a monitor of one leaf.
     *
     * @param incarnation distinguishes incarnations of a leaf with the same identifier
     * @param logLimit is shared by all leaves of this host
     */
    LeafHarm(Leaf leaf, long incarnation, HarmfulRequestFilter filter, LogLimit logLimit, MonotonicClock clock) {
        this.leaf = leaf;
        this.incarnationHash = Hashing.sha256()
                .hashString(leaf.service() + "\n" + leaf.id() + "\n" + incarnation, StandardCharsets.UTF_8)
                .asLong();
        this.filter = filter;
        this.logLimit = logLimit;
        this.clock = clock;
    }

    @Override
    public boolean maySend(LeafRequest request) {
        // A trial was granted when the request arrived; its calls are not stopped midway.
        return filter.permission(request::fingerprints) != Permission.QUARANTINED;
    }

    @Override
    public void onAnswered(LeafRequest request) {
        filter.recordSurvival(request.fingerprints(), clock.nowNanos());
    }

    @Override
    public void onFailed(LeafRequest request, LeafOutcome outcome) {
        filter.recordDisconnect(request.arrival(), clock.nowNanos());
        if (logLimit.admit()) {
            EVENTS.info("call_broken")
                    .with("request", request.requestId())
                    .with("fingerprint", request.fingerprints().path().toString())
                    .with("leaf", leaf.id())
                    .with("service", leaf.service())
                    .with("outcome", outcome.name())
                    .write();
        }
    }

    @Override
    public void onLeafEnded(ImmutableList<LeafRequest> onIt) {
        ImmutableList<Arrival> arrivals =
                onIt.stream().map(LeafRequest::arrival).distinct().collect(ImmutableList.toImmutableList());
        filter.recordLeafEnd(incarnationHash, arrivals, clock.nowNanos());
        if (logLimit.admit()) {
            EVENTS.info("leaf_ended_under_calls")
                    .with("leaf", leaf.id())
                    .with("service", leaf.service())
                    .with("requests", arrivals.size())
                    .with("fingerprint", arrivals.get(0).fingerprints().path().toString())
                    .write();
        }
    }

    /** Limits the rate of log lines about all leaves of this host. Owned by the event loop. */
    static final class LogLimit {
        /** The end of a leaf fails many calls at once; this rate covers the end of a few leaves per second. */
        private static final int MAX_LINES_PER_SECOND = 20;

        private final LogRateLimiter bound;

        LogLimit(MonotonicClock clock) {
            this.bound = new LogRateLimiter(clock, MAX_LINES_PER_SECOND);
        }

        private boolean admit() {
            if (!bound.tryAcquire()) {
                return false;
            }
            long leftOut = bound.takeSuppressedCount();
            if (leftOut > 0) {
                EVENTS.info("call_lines_left_out").with("count", leftOut).write();
            }
            return true;
        }
    }
}
