package org.bramblerack.cli;

import com.google.common.net.HostAndPort;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Sends a query or a once-only request, or looks up the outcome of a once-only request. */
final class QueryCommand implements Command {
    @Override
    public String name() {
        return "query";
    }

    @Override
    public String arguments() {
        return "--host IP:PORT --service PARTNER/SERVICE (--class NAME | --operation NAME | --outcome)";
    }

    @Override
    public String summary() {
        return "Sends a query or a once-only request, or looks up the outcome of a once-only request.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "host", true, "the caller address of any host")
                .addRequiredOption(null, "service", true, "the service, as PARTNER/SERVICE")
                .addOption(null, "class", true, "send a query of this class")
                .addOption(null, "operation", true, "run this once-only operation")
                .addOption(null, "outcome", false, "look up the outcome of the once-only request with --request-id")
                .addOption(null, "request-id", true, "the request identifier; generated if missing")
                .addOption(null, "deadline-ms", true, "the deadline of the request; the declared one if missing")
                .addOption(null, "body", true, "the text to send to the upstreams");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException {
        HostAndPort host = Arguments.address(line, "host");
        String service = line.getOptionValue("service");
        String requestId = line.getOptionValue("request-id", UUID.randomUUID().toString());
        try (ApiClient client = new ApiClient()) {
            ApiClient.Reply reply;
            if (line.hasOption("class")) {
                JsonObject body = body(line, requestId, "query").put("class", line.getOptionValue("class"));
                reply = client.post(host, "/v1/query/" + service, body);
            } else if (line.hasOption("operation")) {
                String path = "/v1/operation/" + service + "/" + line.getOptionValue("operation");
                reply = client.post(host, path, body(line, requestId, "arguments"));
            } else if (line.hasOption("outcome") && line.hasOption("request-id")) {
                reply = client.get(host, "/v1/operation/" + service + "/" + requestId);
            } else {
                throw new ParseException("give --class, --operation, or --outcome with --request-id");
            }
            out.println(reply.json().encodePrettily());
            return reply.isOk() ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    private static JsonObject body(CommandLine line, String requestId, String field) throws ParseException {
        JsonObject body = new JsonObject().put("requestId", requestId).put(field, line.getOptionValue("body", ""));
        if (line.hasOption("deadline-ms")) {
            body.put("deadlineMs", Arguments.nonNegativeLong(line, "deadline-ms", "0"));
        }
        return body;
    }
}
