package org.bramblerack.daemon.gateway;

import java.util.function.Consumer;

/** What a host knows of the age of its tables. Owned by the event loop. */
@FunctionalInterface
public interface TableStatus {
    /** Returns true while the control host that is followed is in touch with a leader, by its last answer. */
    boolean isCurrent();

    /**
     * Makes sure that the configuration in force here is the newest.
     *
     * @param callback is told once, now or later: true if a leader confirmed it after this call, false if it did not
     */
    default void confirmNewest(Consumer<Boolean> callback) {
        callback.accept(isCurrent());
    }
}
