package org.bramblerack.daemon.control;

import java.time.Duration;
import org.bramblerack.daemon.event.EventLog;

/** Looks from time to time whether the disk has room for new commands. Owned by the thread of the control role. */
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

    /** Returns true if no new commands should be taken. */
    boolean isNearlyFull() {
        return nearlyFull;
    }

    /** Looks if it is time to; a change leaves a line. */
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
