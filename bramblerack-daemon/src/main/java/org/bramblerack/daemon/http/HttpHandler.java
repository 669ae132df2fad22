package org.bramblerack.daemon.http;

/** Takes the requests of an {@link HttpListener}. Called on its event loop, so it must not block. */
@FunctionalInterface
public interface HttpHandler {
    /** Takes a whole request; the exchange must be answered once, now or later. */
    void handle(HttpExchange exchange);
}
