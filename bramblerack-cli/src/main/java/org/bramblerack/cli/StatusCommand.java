package org.bramblerack.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Shows the revision in force on each host and the index version of each service. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "--host IP:PORT";
    }

    @Override
    public String summary() {
        return "Shows the revision in force on each host, the time since it was confirmed, and the services.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "host", true, "the caller address of any host")
                .addOption(null, "json", false, "print the reply as JSON");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException {
        try (ApiClient client = new ApiClient()) {
            JsonObject status =
                    client.get(Arguments.address(line, "host"), "/v1/status").json();
            if (line.hasOption("json")) {
                out.println(status.encodePrettily());
            } else {
                print(status, out);
            }
            return status.getBoolean("quorum", false) ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    private static void print(JsonObject status, PrintStream out) {
        out.printf(
                "host %s in %s is %s, revision %d, confirmed %d ms ago%n",
                status.getString("host"),
                status.getString("zone"),
                status.getString("state"),
                status.getLong("revision"),
                status.getLong("unconfirmedMs"));
        if (status.getBoolean("quorum", false)) {
            out.printf(
                    "leader %s, accepted revision %d%n",
                    status.getString("leader"), status.getLong("acceptedRevision"));
        } else {
            out.println("no quorum of control hosts answered: changes and once-only requests are refused here");
        }
        out.printf("%-14s %-14s %-8s %9s %12s%n", "host", "zone", "control", "revision", "heard ms ago");
        for (Object each : status.getJsonArray("hosts", new JsonArray())) {
            JsonObject host = (JsonObject) each;
            out.printf(
                    "%-14s %-14s %-8s %9d %12d%n",
                    host.getString("name"),
                    host.getString("zone"),
                    host.getBoolean("control") ? "yes" : "no",
                    host.getLong("revision"),
                    host.getLong("heardMsAgo"));
        }
        out.printf("%-28s %9s %13s %14s%n", "service", "upstreams", "index version", "shards served");
        for (Object each : status.getJsonArray("services", new JsonArray())) {
            JsonObject service = (JsonObject) each;
            out.printf(
                    "%-28s %9d %13d %10d/%d%n",
                    service.getString("name"),
                    service.getLong("upstreams"),
                    service.getLong("indexVersion"),
                    service.getLong("shardsServed"),
                    service.getLong("shards"));
        }
    }
}
