package org.bramblerack.cli;

import com.google.common.net.HostAndPort;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;

/** A blocking HTTP client for the JSON APIs of hosts and stand-ins. Thread-safe; must be closed after use. */
final class ApiClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final int OK = 200;

    private final Vertx vertx = Vertx.vertx();
    private final WebClient client = WebClient.create(vertx);

    /** An HTTP response: its status and its JSON body, which is empty if the response has none. */
    record Reply(int status, JsonObject json) {
        boolean isOk() {
            return status == OK;
        }

        /** Returns the code of the refusal, or an empty string if the request was not refused. */
        String refusal() {
            return json.getJsonObject("refusal", new JsonObject()).getString("code", "");
        }
    }

    Reply get(HostAndPort host, String path) throws IOException {
        return send(host, HttpMethod.GET, path, Map.of(), "");
    }

    Reply post(HostAndPort host, String path, JsonObject body) throws IOException {
        return send(host, HttpMethod.POST, path, Map.of(), body.encode());
    }

    Reply put(HostAndPort host, String path, Map<String, String> headers, String body) throws IOException {
        return send(host, HttpMethod.PUT, path, headers, body);
    }

    @Override
    public void close() {
        client.close();
        vertx.closeAndAwait();
    }

    private Reply send(HostAndPort host, HttpMethod method, String path, Map<String, String> headers, String body)
            throws IOException {
        HttpRequest<Buffer> request =
                client.request(method, host.getPort(), host.getHost(), path).timeout(TIMEOUT.toMillis());
        headers.forEach(request::putHeader);
        try {
            HttpResponse<Buffer> response =
                    request.sendBuffer(Buffer.buffer(body)).await().atMost(TIMEOUT.plusSeconds(1));
            Buffer content = response.body();
            JsonObject json =
                    content == null || content.length() == 0 ? new JsonObject() : new JsonObject(content.toString());
            return new Reply(response.statusCode(), json);
        } catch (DecodeException malformed) {
            throw new IOException(
                    "the reply from " + host + " is not JSON; check that it is a host of bramblerack", malformed);
        } catch (RuntimeException failure) {
            throw new IOException(
                    "no reply from " + host + " (" + failure.getMessage() + "); check that the host is running",
                    failure);
        }
    }
}
