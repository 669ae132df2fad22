package org.bramblerack.cli.bench;

import java.util.function.Consumer;

/** What a load is sent to. Implementations must be safe for use by many threads. */
interface Target extends AutoCloseable {
    /** What came of a query. */
    enum Outcome {
        /** Whole and in time. */
        COMPLETE,
        /** Answered without some shard. */
        PARTIAL,
        /** Refused, or not answered in time. */
        REFUSED
    }

    /** Asks a query; the outcome is given once. */
    void send(boolean urgent, Consumer<Outcome> done);

    @Override
    void close();
}
