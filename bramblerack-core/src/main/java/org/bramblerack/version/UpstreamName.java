package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The full name of an upstream: its service and its name within that service.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param service the service that it serves
 * @param upstream the name within the service
 */
public record UpstreamName(ServiceName service, String upstream) implements Comparable<UpstreamName> {
    /** Rejects an empty name. */
    public UpstreamName {
        checkArgument(!upstream.isEmpty(), "empty upstream name in %s", service);
    }

    @Override
    public int compareTo(UpstreamName other) {
        int byService = service.compareTo(other.service);
        return byService != 0 ? byService : upstream.compareTo(other.upstream);
    }

    @Override
    public String toString() {
        return service + "/" + upstream;
    }
}
