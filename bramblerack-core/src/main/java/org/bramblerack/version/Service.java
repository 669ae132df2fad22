package org.bramblerack.version;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * A declared service.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the full name
 * @param kind how its upstreams divide the work
 * @param shards how many shards it is declared to have; 1 for a pool
 * @param limits what each upstream can bear
 * @param classes the classes of queries, by name
 * @param operations the once-only operations, by name
 * @param upstreams its upstreams, in the order of the file
 */
public record Service(
        ServiceName name,
        ServiceKind kind,
        int shards,
        UpstreamLimits limits,
        ImmutableMap<String, RequestClass> classes,
        ImmutableMap<String, Operation> operations,
        ImmutableList<Upstream> upstreams) {

    /** Returns the upstream of a name, if it is declared. */
    public Optional<Upstream> upstream(String upstreamName) {
        return upstreams.stream()
                .filter(upstream -> upstream.name().upstream().equals(upstreamName))
                .findFirst();
    }
}
