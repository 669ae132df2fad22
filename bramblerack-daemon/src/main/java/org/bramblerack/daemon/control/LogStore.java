package org.bramblerack.daemon.control;

import java.util.List;
import org.bramblerack.process.agreement.RaftAction;
import org.bramblerack.process.agreement.StoredState;

/** The durable storage of a voter's log and snapshot. Not safe for use by several threads. */
public interface LogStore extends AutoCloseable {
    /**
     * Loads the stored state.
     *
     * @throws DiskFault if it is missing, corrupt or cannot be read
     */
    StoredState load() throws DiskFault;

    /**
     * Stores the {@link RaftAction.Persist} and {@link RaftAction.SaveSnapshot} actions in order, and returns once all
     * are synced.
     *
     * @throws DiskFault if any of it failed; the store must be closed and loaded before it is used again
     */
    void store(List<RaftAction> actions) throws DiskFault;

    /** Returns the size of the log since the last snapshot, in bytes. */
    long logBytes();

    /** Returns true if so little disk space is left that new commands should be rejected. */
    boolean isNearlyFull();

    @Override
    void close();
}
