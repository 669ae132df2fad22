package org.bramblerack.daemon.control;

import org.bramblerack.process.members.ReplicatedTables;

/**
 * Reads the replicated tables on the thread that owns them.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
public interface TableReader<T> {
    /**
     * Reads the tables, and must not modify or keep them.
     *
     * @param upToDate true if this host leads, or had recent contact with a leader and has applied its committed
     *     entries
     */
    T read(ReplicatedTables tables, boolean upToDate, long nowNanos);
}
