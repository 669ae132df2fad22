package org.bramblerack.daemon.gateway;

import io.vavr.control.Either;
import org.bramblerack.version.routing.RoutingConfiguration;

/** Reads the documents in which operators write routing configurations. Implementations are stateless. */
@FunctionalInterface
public interface ConfigurationCodec {
    /** Reads a document whole, or tells what is wrong with it and what to do. */
    Either<String, RoutingConfiguration> read(byte[] document);
}
