package org.bramblerack.daemon.control;

import org.bramblerack.process.members.ReplicatedTables;

/**
 * Reads the agreed tables on the thread that owns them.
 *
 * @param <T> what it returns
 */
@FunctionalInterface
public interface TableReader<T> {
    /**
     * Reads the tables; must not change or keep them.
     *
     * @param inTouch true if this host leads, or heard of late from a leader
     */
    T read(ReplicatedTables tables, boolean inTouch, long nowNanos);
}
