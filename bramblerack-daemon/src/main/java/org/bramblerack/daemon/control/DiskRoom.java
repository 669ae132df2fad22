package org.bramblerack.daemon.control;

import java.time.Duration;
import org.bramblerack.daemon.event.EventLog;

/** Checks periodically whether the disk has space for new commands. Owned by the thread of the control role. */
final class DiskRoom {
    private static final EventLog EVENTS = EventLog.of(DiskRoom.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    private final LogStore store;
    private final String self;
    private long lastCheckNanos;
    private boolean nearlyFull;

    DiskRoom(LogStore store, String self) {
        this.store = store;
        this.self = self;
    }

    /** Returns true if new commands must be rejected because the disk is nearly full. */
    boolean isNearlyFull() {
        return nearlyFull;
    }

    /** Checks the disk if {@link #CHECK_INTERVAL} has passed, and logs a change. */
    void checkIfDue(long nowNanos) {
        if (nowNanos - lastCheckNanos < CHECK_INTERVAL.toNanos()) {
            return;
        }
        lastCheckNanos = nowNanos;
        boolean before = nearlyFull;
        nearlyFull = store.isNearlyFull();
        if (nearlyFull != before) {
            EVENTS.warning("disk_room")
                    .with("voter", self)
                    .with("nearlyFull", nearlyFull)
                    .write();
        }
    }
}
