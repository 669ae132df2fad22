package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * One revision of the declared configuration, with every partner's declaration.
 *
 * <p>Immutable and safe for use by many threads. A process replaces its configuration only by one of a higher revision.
 *
 * @param revision the revision; 0 before any declaration was applied
 * @param declarations the declarations, by partner
 */
public record Configuration(long revision, ImmutableMap<String, Declaration> declarations) {
    /** The configuration before any declaration was applied. */
    public static final Configuration EMPTY = new Configuration(0, ImmutableMap.of());

    /** Rejects a negative revision. */
    public Configuration {
        checkArgument(revision >= 0, "revision %s is negative", revision);
    }

    /** Returns the service with the given name, if it is declared. */
    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(declarations.get(name.partner()))
                .flatMap(declaration ->
                        Optional.ofNullable(declaration.services().get(name.service())));
    }

    /** Returns the upstream with the given name, if it is declared. */
    public Optional<Upstream> upstream(UpstreamName name) {
        return service(name.service()).flatMap(service -> service.upstream(name.upstream()));
    }
}
