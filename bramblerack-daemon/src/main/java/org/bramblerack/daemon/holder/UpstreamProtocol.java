package org.bramblerack.daemon.holder;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamReport;

/**
 * A client of one upstream. Implementations must be safe for use by many threads and must never open more connections
 * than the limit that they are created with.
 */
public interface UpstreamProtocol {
    /**
     * Sends a call.
     *
     * @param remaining the time until the deadline
     * @return the outcome; the {@code Uni} itself never fails
     */
    Uni<LeafOutcome> call(LeafRequest request, Duration remaining);

    /** Requests that the upstream stop working on a call. The call still completes with its own outcome. */
    void cancel(String callId);

    /** Requests the upstream's report; fails if none is received. */
    Uni<UpstreamReport> report();

    /**
     * Returns false if the upstream refuses connections, as after its process has ended; true if it accepts or times
     * out.
     */
    Uni<Boolean> acceptsConnections();

    /** Opens connections in advance, up to the limit. */
    void openConnections();

    /** Closes all connections. */
    void close();

    /** Creates the clients of upstreams. */
    @FunctionalInterface
    interface Factory {
        /** Creates a client that opens at most the given number of connections. */
        UpstreamProtocol connect(Upstream upstream, int connections);
    }
}
