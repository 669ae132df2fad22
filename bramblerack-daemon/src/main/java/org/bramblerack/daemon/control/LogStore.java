package org.bramblerack.daemon.control;

import java.util.List;
import org.bramblerack.process.agreement.RaftAction;
import org.bramblerack.process.agreement.StoredState;

/** Where a voter keeps what must last. Not safe for use by several threads. */
public interface LogStore extends AutoCloseable {
    /**
     * Reads what was stored.
     *
     * @throws DiskFault if it cannot be trusted
     */
    StoredState load() throws DiskFault;

    /**
     * Stores the persists and snapshots among the actions, in order, and returns once all are synced.
     *
     * @throws DiskFault if anything of it failed; the store must be closed and loaded before it is used again
     */
    void store(List<RaftAction> actions) throws DiskFault;

    /** Returns the size of the log since the last snapshot, in bytes. */
    long logBytes();

    /** Returns true if the disk has so little room left that no new commands should be taken. */
    boolean isNearlyFull();

    @Override
    void close();
}
