package org.bramblerack.daemon.http;

/** Handles the requests of an {@link HttpListener}. Called on its event loop, so it must not block. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles a complete request. The exchange must be answered once, possibly after this method returns. */
    void handle(HttpExchange exchange);
}
