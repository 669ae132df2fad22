package org.bramblerack.daemon.holder;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamReport;

/**
 * How the tier speaks to one upstream. Implementations must be safe for use by many threads and must never have more
 * connections open than they were given.
 */
public interface UpstreamProtocol {
    /**
     * Sends a call.
     *
     * @param remaining the time that is left
     * @return what came of it; never a failure
     */
    Uni<LeafOutcome> call(LeafRequest request, Duration remaining);

    /** Asks the upstream to stop working on a call. The call still ends by itself. */
    void cancel(String callId);

    /** Asks the upstream for its report; fails if none comes. */
    Uni<UpstreamReport> report();

    /** Returns false if the upstream refuses connections, as after its end; true if it takes them or is silent. */
    Uni<Boolean> acceptsConnections();

    /** Opens connections before they are needed, at most as many as were given. */
    void openConnections();

    /** Closes every connection. */
    void close();

    /** Makes the protocol for an upstream. */
    @FunctionalInterface
    interface Factory {
        /** Makes the protocol for an upstream with at most the given number of connections. */
        UpstreamProtocol connect(Upstream upstream, int connections);
    }
}
