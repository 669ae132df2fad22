package org.bramblerack.daemon.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.settings.Settings;
import org.bramblerack.daemon.settings.SettingsReader;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sends valid and invalid requests over HTTP to a complete host process on loopback. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class HostProcessTest {
    private static final String QUERY = "/v1/query/spinifex/catalogue";

    private final HttpClient client = HttpClient.newHttpClient();
    private HostProcess process;

    @BeforeAll
    void start(@TempDir Path folder) throws Exception {
        String digest =
                Hashing.sha256().hashString("secret", StandardCharsets.UTF_8).toString();
        String settings = "{ \"formatVersion\": 1, \"host\": \"h1\", \"region\": \"r\", \"zone\": \"z\","
                + " \"roles\": [\"entry\", \"control\"], \"callerAddress\": \"127.0.0.1:0\","
                + " \"peerAddress\": \"127.0.0.1:0\", \"dataFolder\": \"" + folder + "\", \"credentials\": ["
                + "{ \"partner\": \"spinifex\", \"sha256\": \"" + digest + "\" }], \"hosts\": ["
                + "{ \"name\": \"h1\", \"zone\": \"z\", \"peerAddress\": \"127.0.0.1:0\", \"control\": true }] }";
        Settings read = SettingsReader.read(settings).get();
        new FileLogStore(read.controlFolder()).initialize();
        process = new HostProcess(read, LinkPolicy.OPEN);
        process.start();
        while (!send("GET", "/v1/status", "").body().contains("\"quorum\":true")) {
            Thread.onSpinWait();
        }
    }

    @AfterAll
    void stop() {
        process.kill();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST|/v1/query/spinifex/catalogue||400|bad-request",
                "POST|/v1/query/spinifex/catalogue|{|400|bad-request",
                "POST|/v1/query/spinifex/catalogue|[]|400|bad-request",
                "POST|/v1/query/spinifex/catalogue|{} {}|400|bad-request",
                "POST|/v1/query/spinifex/catalogue|{\"requestId\":\"a\",\"requestId\":\"b\"}|400|bad-request",
                "POST|/v1/query/spinifex/catalogue|{\"requestId\":\"a b\",\"class\":\"c\",\"query\":1}|400|bad-request",
                "POST|/v1/query/spinifex/catalogue|{\"requestId\":\"a\",\"class\":\"c\",\"query\":1,\"x\":1}|400|bad-request",
                "POST|/v1/query/spinifex/catalogue|{\"requestId\":\"a\",\"class\":\"c\",\"query\":1,\"deadlineMs\":-1}|400|bad-request",
                "POST|/v1/query/spinifex/catalogue|{\"requestId\":\"a\",\"class\":\"c\",\"query\":1,\"deadlineMs\":1e9}|400|bad-request",
                "POST|/v1/query/nobody/catalogue|{\"requestId\":\"a\",\"class\":\"c\",\"query\":1}|404|unknown-service",
                "POST|/v1/operation/nobody/hold/hold|{\"requestId\":\"a\",\"arguments\":1}|404|unknown-service",
                "POST|/v1/nothing||404|unknown-path",
                "DELETE|/v1/status||404|unknown-path",
                "GET|/v1/operation/spinifex/reservation/none||404|unknown-request",
                "GET|/v1/operation/spinifex/reservation/%20||400|bad-request",
                "PUT|/v1/declaration/spinifex|{}|401|unauthorized",
            })
    void invalidInputGetsATypedRefusal(String method, String path, String body, int status, String code)
            throws Exception {
        HttpResponse<String> response = send(method, path, body == null ? "" : body);
        assertThat(response.body()).contains("\"code\":\"" + code + "\"");
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.body()).contains("\"ran\":");
    }

    @Test
    void tooLargeOrTooDeepInputIsRefusedAndTheHostStaysUp() throws Exception {
        HttpResponse<String> large = send("POST", QUERY, "x".repeat(2 * 1024 * 1024));
        assertThat(large.body()).contains("too-large");
        HttpResponse<String> deep =
                send("POST", QUERY, "{\"requestId\":\"a\",\"class\":\"c\",\"query\":" + "[".repeat(50_000));
        assertThat(deep.body()).contains("bad-request");
        assertThat(send("GET", "/health/live", "").statusCode()).isEqualTo(200);
    }

    @Test
    void aDeclarationIsAcceptedOnceAndAResendGetsTheSameRevision() throws Exception {
        String text = Files.readString(Path.of("..", "examples", "spinifex.json"));
        HttpResponse<String> first = apply("change-1", "0", text);
        assertThat(first.body()).contains("\"revision\":1");
        assertThat(apply("change-1", "0", text).body()).isEqualTo(first.body());
        assertThat(apply("change-2", "0", text).body()).contains("revision-conflict");
        assertThat(apply("change-1", "0", text + " ").body()).contains("request-mismatch");
        assertThat(apply("change-3", "1", "{").body()).contains("\"line\":1");
        assertThat(apply("change-3", "none", text).body()).contains("X-Expected-Revision");
    }

    /** Guards against a request that its caller cuts off, at any byte, being executed as a whole one. */
    @Test
    void aRequestThatIsCutOffIsNotExecuted() throws Exception {
        String before = send("GET", "/v1/history", "").body();
        String text = Files.readString(Path.of("..", "examples", "spinifex.json"));
        String head = String.join(
                "\r\n",
                "PUT /v1/declaration/spinifex HTTP/1.1",
                "Host: h",
                "Authorization: Bearer secret",
                "X-Change-Id: cut",
                "X-Expected-Revision: " + revision(),
                "Content-Length: " + text.length(),
                "",
                "");
        String whole = head + text;
        for (int length = 0; length < whole.length(); length += length < head.length() ? 1 : 97) {
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), process.callerPort())) {
                caller.setSoTimeout(10_000);
                caller.getOutputStream().write(whole.substring(0, length).getBytes(StandardCharsets.UTF_8));
                caller.shutdownOutput();
                caller.getInputStream().readAllBytes();
            }
        }
        assertThat(send("GET", "/v1/history", "").body()).isEqualTo(before);
        assertThat(send("GET", "/metrics", "").body()).contains("refusal_internal 0.0");
    }

    private String revision() throws Exception {
        Matcher accepted = Pattern.compile("\"acceptedRevision\":(\\d+)")
                .matcher(send("GET", "/v1/status", "").body());
        assertThat(accepted.find()).isTrue();
        return accepted.group(1);
    }

    @Test
    void everyRefusalKindHasACounter() throws Exception {
        send("POST", "/v1/nothing", "");
        String metrics = send("GET", "/metrics", "").body();
        assertThat(metrics).containsMatch("refusal_unknown_path [1-9]");
        assertThat(metrics).contains("refusal_outcome_unknown 0.0");
        assertThat(metrics).contains("query_hedge 0.0");
        assertThat(metrics).doesNotContain("secret");
    }

    private HttpResponse<String> apply(String changeId, String expected, String text)
            throws IOException, InterruptedException {
        HttpRequest request = request("/v1/declaration/spinifex")
                .header("Authorization", "Bearer secret")
                .header("X-Change-Id", changeId)
                .header("X-Expected-Revision", expected)
                .PUT(HttpRequest.BodyPublishers.ofString(text))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> send(String method, String path, String body)
            throws IOException, InterruptedException {
        HttpRequest request = request(path)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + process.callerPort() + path));
    }
}
