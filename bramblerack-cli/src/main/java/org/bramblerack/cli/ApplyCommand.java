package org.bramblerack.cli;

import com.google.common.net.HostAndPort;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bramblerack.daemon.entry.OperatorApi;

/** Applies a partner's declaration as a whole and waits until it is in force. */
final class ApplyCommand implements Command {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final String DEFAULT_WAIT_MILLIS = "15000";

    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String arguments() {
        return "--host IP:PORT --partner NAME --credential-file FILE DECLARATION";
    }

    @Override
    public String summary() {
        return "Applies a declaration as a whole and waits until it is in force on every host.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "host", true, "the caller address of any host")
                .addRequiredOption(null, "partner", true, "the partner whose declaration it is")
                .addRequiredOption(null, "credential-file", true, "the file that holds the partner's credential")
                .addOption(
                        null,
                        "change-id",
                        true,
                        "identifies the change, the same in every resend; generated if missing")
                .addOption(null, "expect", true, "the revision that the change replaces; the current one if missing")
                .addOption(null, "wait-ms", true, "how long to wait until it is in force on all hosts");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException {
        HostAndPort host = Arguments.address(line, "host");
        String partner = line.getOptionValue("partner");
        String credential =
                TextFiles.read(Path.of(line.getOptionValue("credential-file"))).strip();
        String file = Arguments.singleArgument(line, "DECLARATION");
        String text = TextFiles.read(Path.of(file));
        Duration wait = Arguments.millis(line, "wait-ms", DEFAULT_WAIT_MILLIS);
        String changeId = line.getOptionValue("change-id", UUID.randomUUID().toString());
        try (ApiClient client = new ApiClient()) {
            String expected = line.getOptionValue("expect");
            if (expected == null) {
                ApiClient.Reply current = client.get(host, "/v1/declaration/" + partner);
                if (!current.isOk()) {
                    return printRefusal(file, current, out);
                }
                expected = current.json().getLong("revision").toString();
            }
            out.println("change " + changeId + " on revision " + expected);
            Map<String, String> headers = Map.of(
                    "Authorization",
                    "Bearer " + credential,
                    OperatorApi.CHANGE_ID_HEADER,
                    changeId,
                    OperatorApi.EXPECTED_REVISION_HEADER,
                    expected);
            ApiClient.Reply reply = client.put(host, "/v1/declaration/" + partner, headers, text);
            if (!reply.isOk()) {
                return printRefusal(file, reply, out);
            }
            long revision = reply.json().getLong("revision");
            out.println("accepted as revision " + revision);
            return awaitInForce(client, host, revision, wait, out);
        }
    }

    private static ExitCode awaitInForce(
            ApiClient client, HostAndPort host, long revision, Duration wait, PrintStream out)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + wait.toNanos();
        while (true) {
            JsonArray hosts = client.get(host, "/v1/status").json().getJsonArray("hosts", new JsonArray());
            List<String> lagging = new ArrayList<>();
            for (int position = 0; position < hosts.size(); position++) {
                JsonObject hostStatus = hosts.getJsonObject(position);
                if (hostStatus.getLong("revision") < revision) {
                    lagging.add(hostStatus.getString("name"));
                }
            }
            boolean done = lagging.isEmpty() && !hosts.isEmpty();
            if (done || System.nanoTime() - deadlineNanos >= 0) {
                int inForce = hosts.size() - lagging.size();
                out.println("in force on " + inForce + " of " + hosts.size() + " hosts"
                        + (done ? "" : ", not yet confirmed by " + String.join(", ", lagging)));
                return done ? ExitCode.OK : ExitCode.REFUSED;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    private static ExitCode printRefusal(String file, ApiClient.Reply reply, PrintStream out) {
        JsonArray faults = reply.json().getJsonArray("faults", new JsonArray());
        for (int position = 0; position < faults.size(); position++) {
            JsonObject fault = faults.getJsonObject(position);
            out.println(file + ": line " + fault.getInteger("line") + ", field " + fault.getString("field") + ": "
                    + fault.getString("problem") + ". Remedy: " + fault.getString("remedy") + ".");
        }
        out.println("refused: "
                + reply.json().getJsonObject("refusal", new JsonObject()).getString("message", "no reason given"));
        return ExitCode.REFUSED;
    }
}
