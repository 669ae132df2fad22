package org.bramblerack.version;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * A declared service.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the full name, with the partner
 * @param kind how requests are distributed over its upstreams
 * @param shards the declared number of shards; 1 for a pool
 * @param limits the limits of each upstream
 * @param classes the classes of queries, by name
 * @param operations the once-only operations, by name
 * @param upstreams the upstreams, in the order of the declaration
 */
public record Service(
        ServiceName name,
        ServiceKind kind,
        int shards,
        UpstreamLimits limits,
        ImmutableMap<String, RequestClass> classes,
        ImmutableMap<String, Operation> operations,
        ImmutableList<Upstream> upstreams) {

    /** Returns the upstream with the given name, if it is declared. */
    public Optional<Upstream> upstream(String upstreamName) {
        return upstreams.stream()
                .filter(upstream -> upstream.name().upstream().equals(upstreamName))
                .findFirst();
    }
}
