package org.bramblerack.daemon.gateway;

import java.util.function.Consumer;

/** Whether a host's copy of the replicated tables is up to date. Owned by the event loop. */
@FunctionalInterface
public interface TableStatus {
    /** Returns true while the followed control host is connected to a leader, according to its last answer. */
    boolean isCurrent();

    /**
     * Checks whether the configuration in force on this host is the newest.
     *
     * @param callback receives the result once, during this call or later: true if a leader confirmed the version after
     *     this call began, otherwise false
     */
    default void confirmNewest(Consumer<Boolean> callback) {
        callback.accept(isCurrent());
    }
}
