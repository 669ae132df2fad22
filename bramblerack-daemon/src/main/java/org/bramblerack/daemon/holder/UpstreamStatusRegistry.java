package org.bramblerack.daemon.holder;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.version.UpstreamReport;

/**
 * The last known status of each upstream that this host holds, and the selection of statuses for each heartbeat.
 *
 * <p>A changed status is included in several consecutive heartbeats, to tolerate lost messages; unchanged statuses are
 * included in rotation. Safe for use by many threads. Lock order: this object's lock is acquired before the
 * directory's.
 */
public final class UpstreamStatusRegistry {
    private static final int HEARTBEATS_PER_CHANGE = 4;
    private static final int HEARTBEATS_PER_ROTATION = 40;

    private final String self;
    private final ServiceDirectory directory;
    private final Map<UpstreamName, Status> statuses = new TreeMap<>();
    private Runnable onChange = () -> {};
    private int rotation;

    /** Creates an empty registry. */
    public UpstreamStatusRegistry(String self, ServiceDirectory directory) {
        this.self = self;
        this.directory = directory;
    }

    /** The status of an upstream, as sent to other hosts. */
    public record ReportedStatus(UpstreamName upstream, UpstreamReport report, boolean reachable) {}

    /** Sets a listener that runs after each change of a status. */
    public synchronized void setOnChange(Runnable listener) {
        onChange = listener;
    }

    /** Records an upstream's report and whether the upstream is reachable. */
    public void record(UpstreamName upstream, UpstreamReport report, boolean reachable) {
        Runnable listener = () -> {};
        synchronized (this) {
            Status previous = statuses.get(upstream);
            boolean changed = previous == null || !previous.report.equals(report) || previous.reachable != reachable;
            if (changed) {
                statuses.put(upstream, new Status(report, reachable));
                listener = onChange;
            }
        }
        directory.recordReport(self, upstream, report, reachable);
        listener.run();
    }

    /** Marks an upstream as draining after it refused a call for that reason. */
    public void markDraining(UpstreamName upstream) {
        Optional<UpstreamReport> lastReport = reportOf(upstream);
        if (lastReport.isPresent() && !lastReport.get().draining()) {
            record(upstream, new UpstreamReport(true, lastReport.get().served()), true);
        }
    }

    /** Removes an upstream that this host no longer holds. */
    public synchronized void remove(UpstreamName upstream) {
        statuses.remove(upstream);
    }

    /** Returns the last report of an upstream, if there is one. */
    public synchronized Optional<UpstreamReport> reportOf(UpstreamName upstream) {
        return Optional.ofNullable(statuses.get(upstream)).map(status -> status.report);
    }

    /** Returns the statuses to include in the next heartbeat. */
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

    /** Returns all statuses, for a host that may not have received any yet. */
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
