package org.bramblerack.daemon.holder;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.version.UpstreamReport;

/**
 * What this host, as a holder, last learned of each upstream, and what of it the other hosts should hear next.
 *
 * <p>A change is told in every beat for a while, so that a lost message costs little; the rest is told in turns. Safe
 * for use by many threads; its lock comes before the directory's.
 */
public final class UpstreamStatusRegistry {
    private static final int HEARTBEATS_PER_CHANGE = 4;
    private static final int HEARTBEATS_PER_ROTATION = 40;

    private final String self;
    private final ServiceDirectory directory;
    private final Map<UpstreamName, Status> statuses = new TreeMap<>();
    private Runnable onChange = () -> {};
    private int rotation;

    /** Creates an empty board. */
    public UpstreamStatusRegistry(String self, ServiceDirectory directory) {
        this.self = self;
        this.directory = directory;
    }

    /** What is told of one upstream. */
    public record ReportedStatus(UpstreamName upstream, UpstreamReport report, boolean reachable) {}

    /** Sets what to run when something changed that others should hear at once. */
    public synchronized void setOnChange(Runnable listener) {
        onChange = listener;
    }

    /** Records a report of an upstream. */
    public void record(UpstreamName upstream, UpstreamReport report, boolean reachable) {
        Runnable listener = () -> {};
        synchronized (this) {
            Status known = statuses.get(upstream);
            boolean changed = known == null || !known.report.equals(report) || known.reachable != reachable;
            if (changed) {
                statuses.put(upstream, new Status(report, reachable));
                listener = onChange;
            }
        }
        directory.recordReport(self, upstream, report, reachable);
        listener.run();
    }

    /** Records that an upstream refused a call because it is leaving. */
    public void markDraining(UpstreamName upstream) {
        Optional<UpstreamReport> known = reportOf(upstream);
        if (known.isPresent() && !known.get().draining()) {
            record(upstream, new UpstreamReport(true, known.get().served()), true);
        }
    }

    /** Forgets an upstream that this host no longer holds. */
    public synchronized void remove(UpstreamName upstream) {
        statuses.remove(upstream);
    }

    /** Returns the last report of an upstream. */
    public synchronized Optional<UpstreamReport> reportOf(UpstreamName upstream) {
        return Optional.ofNullable(statuses.get(upstream)).map(status -> status.report);
    }

    /** Returns what to tell in the next beat. */
    public synchronized ImmutableList<ReportedStatus> nextHeartbeat() {
        rotation = (rotation + 1) % HEARTBEATS_PER_ROTATION;
        ImmutableList.Builder<ReportedStatus> reported = ImmutableList.builder();
        int position = 0;
        for (Map.Entry<UpstreamName, Status> entry : statuses.entrySet()) {
            Status status = entry.getValue();
            boolean recentlyChanged = status.heartbeatsLeft > 0;
            if (recentlyChanged) {
                status.heartbeatsLeft--;
            }
            if (recentlyChanged || position % HEARTBEATS_PER_ROTATION == rotation) {
                reported.add(new ReportedStatus(entry.getKey(), status.report, status.reachable));
            }
            position++;
        }
        return reported.build();
    }

    /** Returns everything, for a host that was not heard before. */
    public synchronized ImmutableList<ReportedStatus> allStatuses() {
        return statuses.entrySet().stream()
                .map(entry -> new ReportedStatus(entry.getKey(), entry.getValue().report, entry.getValue().reachable))
                .collect(ImmutableList.toImmutableList());
    }

    private static final class Status {
        private final UpstreamReport report;
        private final boolean reachable;
        private int heartbeatsLeft = HEARTBEATS_PER_CHANGE;

        Status(UpstreamReport report, boolean reachable) {
            this.report = report;
            this.reachable = reachable;
        }
    }
}
