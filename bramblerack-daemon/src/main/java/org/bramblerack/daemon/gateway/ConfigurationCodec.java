package org.bramblerack.daemon.gateway;

import io.vavr.control.Either;
import org.bramblerack.version.routing.RoutingConfiguration;

/** Parses the documents in which operators write routing configurations. Implementations are stateless. */
@FunctionalInterface
public interface ConfigurationCodec {
    /** Parses a document, or returns a message with the errors and their remedies. */
    Either<String, RoutingConfiguration> read(byte[] document);
}
