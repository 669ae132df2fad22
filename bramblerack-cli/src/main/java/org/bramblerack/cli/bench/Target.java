package org.bramblerack.cli.bench;

import java.util.function.Consumer;

/**
 * A system that answers the queries of an {@link OpenLoopLoad}. Implementations must be safe for use by many threads.
 */
interface Target extends AutoCloseable {
    /** The outcome of a query. */
    enum Outcome {
        /** Answered in time from every shard. */
        COMPLETE,
        /** Answered in time, with at least one shard missing. */
        PARTIAL,
        /** Refused, failed, or not answered in time. */
        REFUSED
    }

    /** Sends a query and calls {@code done} once with its outcome. */
    void send(boolean urgent, Consumer<Outcome> done);

    @Override
    void close();
}
