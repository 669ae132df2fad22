package org.bramblerack.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs the steps of the demonstration against its running processes, and checks the results of each step. */
final class DemoRunCommand implements Command {
    private static final String FRAUD = "sagarmatha/dispute-fraud";
    private static final String CATALOGUE = "spinifex/catalogue";
    private static final String WALLET = "sagarmatha/wallet";
    private static final int QUERY_COUNT = 40;
    private static final int WARM_UP_QUERY_COUNT = 200;
    private static final long DRAIN_MILLIS = 2_000;

    @Override
    public String name() {
        return "demo-run";
    }

    @Override
    public String arguments() {
        return "--folder FOLDER";
    }

    @Override
    public String summary() {
        return "Runs the steps of the demonstration against its processes.";
    }

    @Override
    public Options options() {
        return new Options().addRequiredOption(null, "folder", true, "the folder of the demonstration");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws IOException, InterruptedException {
        try (ApiClient client = new ApiClient()) {
            Demonstration demo = new Demonstration(Path.of(line.getOptionValue("folder")), client, out);
            awaitHosts(demo);
            applyDeclarations(demo);
            checkCompleteQuery(demo);
            checkSlowReplica(demo);
            checkLostShard(demo);
            checkOnceOnlyOperation(demo);
            checkDrainingReplica(demo);
            checkVersionChange(demo);
            checkRefusals(demo);
            checkLeaderFailover(demo);
            out.println();
            out.println(
                    demo.failures().isEmpty()
                            ? "everything held"
                            : demo.failures().size() + " things did not hold: " + demo.failures());
            return demo.failures().isEmpty() ? ExitCode.OK : ExitCode.REFUSED;
        }
    }

    private static void awaitHosts(Demonstration demo) throws InterruptedException {
        demo.printTitle(
                "Seven hosts in six availability zones, three of them control hosts, and both partners' upstreams");
        long tookMillis = demo.await(() -> hasQuorum(demo, "sag-4") && hasQuorum(demo, "spx-3"));
        demo.check(tookMillis >= 0, "the control hosts elected a leader");
    }

    private static void applyDeclarations(Demonstration demo) throws IOException, InterruptedException {
        demo.printTitle("Operators apply their declarations, each through another host");
        String declaration = TextFiles.read(demo.folder().resolve("sagarmatha.json"));
        ApiClient.Reply invalid =
                demo.apply("sag-1", "sagarmatha", "demo-0", 0, declaration.replace("\"slots\": 2", "\"slot\": 2"));
        JsonArray faults = invalid.json().getJsonArray("faults", new JsonArray());
        for (int position = 0; position < Math.min(2, faults.size()); position++) {
            JsonObject fault = faults.getJsonObject(position);
            demo.printDetail("line " + fault.getInteger("line") + ", " + fault.getString("field") + ": "
                    + fault.getString("problem") + "; " + fault.getString("remedy"));
        }
        demo.check(
                invalid.refusal().equals("invalid-declaration"), "a broken copy is refused with every fault and line");
        String otherDeclaration = TextFiles.read(demo.folder().resolve("spinifex.json"));
        long firstRevision = demo.apply("sag-2", "sagarmatha", "demo-1", 0, declaration)
                .json()
                .getLong("revision", -1L);
        long secondRevision = demo.apply("spx-2", "spinifex", "demo-2", 0, otherDeclaration)
                .json()
                .getLong("revision", -1L);
        demo.check(
                firstRevision > 0 && secondRevision > firstRevision,
                "both are accepted, as revisions " + firstRevision + " and " + secondRevision);
        long resentRevision = demo.apply("spx-1", "sagarmatha", "demo-1", 0, declaration)
                .json()
                .getLong("revision", -1L);
        demo.check(
                resentRevision == firstRevision,
                "a resend of the first change through another host gives its first result");
        ApiClient.Reply conflicting = demo.apply("sag-1", "sagarmatha", "demo-3", 0, declaration);
        demo.check(
                conflicting.refusal().equals("revision-conflict"),
                "an operator who raced on the old revision is told so");
        long tookMillis = demo.await(() -> lowestRevision(demo) >= secondRevision);
        demo.check(
                tookMillis >= 0,
                "revision " + secondRevision + " is in force on all 7 hosts after " + tookMillis + " ms");
    }

    private static void checkCompleteQuery(Demonstration demo) throws IOException, InterruptedException {
        demo.printTitle("A query goes to every shard and comes back whole, from one index version");
        demo.await(() -> isWhole(queryUnchecked(demo, "spx-3", FRAUD, "dispute-history")));
        for (int number = 0; number < QUERY_COUNT; number++) {
            demo.query("sag-1", FRAUD, "dispute-history", "demo-warm-first-" + number);
            demo.query("sag-4", CATALOGUE, "collector", "demo-warm-other-" + number);
        }
        ApiClient.Reply reply = demo.query("sag-1", FRAUD, "fraud-screening", "demo-query-1");
        demo.printDetail(summary(reply));
        demo.check(isWhole(reply) && version(reply) == 7, "fraud screening: 20 of 20 shards of index version 7");
        ApiClient.Reply catalogueReply = demo.query("sag-4", CATALOGUE, "counter", "demo-query-2");
        demo.printDetail(summary(catalogueReply));
        demo.check(
                isWhole(catalogueReply), "the other partner's catalogue, asked through a host of the first, is whole");
    }

    private static void checkSlowReplica(Demonstration demo) throws IOException {
        demo.printTitle("One replica of a shard takes 300 ms instead of 3 ms");
        for (int number = 0; number < WARM_UP_QUERY_COUNT; number++) {
            demo.query("sag-3", FRAUD, "dispute-history", "demo-warm-" + number);
        }
        JsonObject slowdown =
                new JsonObject().put("upstream", FRAUD + "/dispute-04a").put("set", "straggle");
        demo.setBehaviour("sagarmatha", slowdown.put("percent", 100.0).put("factor", 100));
        long slowestMillis = 0;
        boolean whole = true;
        for (int number = 0; number < QUERY_COUNT; number++) {
            long startNanos = System.nanoTime();
            whole &= isWhole(demo.query("sag-3", FRAUD, "dispute-history", "demo-slow-" + number));
            slowestMillis = Math.max(slowestMillis, (System.nanoTime() - startNanos) / 1_000_000);
        }
        demo.check(whole, QUERY_COUNT + " queries are whole, the slowest took " + slowestMillis + " ms");
        demo.check(slowestMillis < 200, "none waited for the straggler: its shard was asked at the other replica");
        demo.setBehaviour("sagarmatha", slowdown.put("value", false));
    }

    private static void checkLostShard(Demonstration demo) throws IOException {
        demo.printTitle("Both replicas of shard 3 are lost");
        for (int number = 0; number < QUERY_COUNT; number++) {
            demo.query("sag-2", FRAUD, "dispute-history", "demo-warm-fraud-" + number);
            demo.query("spx-1", CATALOGUE, "collector", "demo-warm-catalogue-" + number);
        }
        JsonObject fraudOutage =
                new JsonObject().put("upstream", FRAUD + "/dispute-03").put("set", "down");
        demo.setBehaviour("sagarmatha", fraudOutage);
        ApiClient.Reply partial = demo.query("sag-2", FRAUD, "fraud-screening", "demo-lost-1");
        demo.printDetail(summary(partial));
        demo.check(
                partial.isOk() && missing(partial).equals("[3]"),
                "fraud screening prefers time: a partial answer that names the missing shard");
        demo.setBehaviour("sagarmatha", fraudOutage.put("value", false));
        JsonObject catalogueOutage =
                new JsonObject().put("upstream", CATALOGUE + "/catalogue-03").put("set", "down");
        demo.setBehaviour("spinifex", catalogueOutage);
        ApiClient.Reply refused = demo.query("spx-1", CATALOGUE, "counter", "demo-lost-2");
        demo.printDetail(summary(refused));
        demo.check(
                refused.refusal().equals("incomplete"),
                "the catalogue prefers coverage: a truthful refusal that says when to come back");
        demo.setBehaviour("spinifex", catalogueOutage.put("value", false));
    }

    private static void checkOnceOnlyOperation(Demonstration demo) throws IOException {
        demo.printTitle("A top-up that may run only once is sent through one host and resent through two others");
        ApiClient.Reply original = demo.operation("sag-2", WALLET, "top-up", "demo-top-up");
        demo.printDetail(original.json().encode());
        ApiClient.Reply firstResend = demo.operation("sag-4", WALLET, "top-up", "demo-top-up");
        ApiClient.Reply secondResend = demo.operation("spx-2", WALLET, "top-up", "demo-top-up");
        boolean replayed = firstResend.json().getBoolean("replayed", false)
                && secondResend.json().getBoolean("replayed", false);
        demo.check(original.isOk() && replayed, "both resends get the recorded answer");
        long runs = demo.ledger("sagarmatha", "?requestId=demo-top-up").getLong("runs");
        demo.check(runs == 1, "the upstreams ran it " + runs + " time");
        ApiClient.Reply outcome = demo.get("spx-3", "/v1/operation/" + WALLET + "/demo-top-up");
        demo.check(
                "ran".equals(outcome.json().getString("outcome")), "a look-up through a fourth host says that it ran");
    }

    private static void checkDrainingReplica(Demonstration demo) throws IOException, InterruptedException {
        demo.printTitle("A replica says that it is leaving");
        String upstream = FRAUD + "/dispute-07b";
        JsonObject drain = new JsonObject().put("upstream", upstream).put("set", "draining");
        demo.setBehaviour("sagarmatha", drain);
        Thread.sleep(DRAIN_MILLIS);
        long callsBefore = demo.ledger("sagarmatha", "?upstream=" + upstream).getLong("upstreamCalls");
        boolean whole = true;
        for (int number = 0; number < QUERY_COUNT; number++) {
            String host = number % 2 == 0 ? "sag-1" : "spx-2";
            whole &= isWhole(demo.query(host, FRAUD, "dispute-history", "demo-drain-" + number));
        }
        long callsAfter = demo.ledger("sagarmatha", "?upstream=" + upstream).getLong("upstreamCalls");
        demo.check(callsAfter == callsBefore, "2 s later it gets none of " + QUERY_COUNT + " queries' work");
        demo.check(whole, "and every query is still whole");
        demo.setBehaviour("sagarmatha", drain.put("value", false));
    }

    private static void checkVersionChange(Demonstration demo) throws IOException, InterruptedException {
        demo.printTitle("The index moves from version 7 to 8 while queries run");
        demo.setIndexVersion(
                "sagarmatha", new JsonObject().put("service", "dispute-fraud").put("indexVersion", 8));
        boolean mixed = false;
        for (int number = 0; number < QUERY_COUNT; number++) {
            mixed |= isMixed(demo.query("sag-1", FRAUD, "dispute-history", "demo-version-" + number));
        }
        JsonObject replacement = new JsonObject()
                .put("service", "dispute-fraud")
                .put("indexVersion", 8)
                .put("instead", 7);
        demo.setIndexVersion("sagarmatha", replacement);
        for (int number = 0; number < QUERY_COUNT; number++) {
            mixed |= isMixed(demo.query("sag-3", FRAUD, "dispute-history", "demo-version-again-" + number));
        }
        demo.check(!mixed, "no answer mixes versions");
        long tookMillis = demo.await(() -> version(queryUnchecked(demo, "spx-1", FRAUD, "dispute-history")) == 8);
        demo.check(tookMillis >= 0, "answers now reflect version 8");
    }

    private static void checkRefusals(Demonstration demo) throws IOException {
        demo.printTitle("What cannot be done is refused with a reason, a remedy, and whether it ran");
        ApiClient.Reply unknown = demo.query("sag-1", FRAUD, "no-such-class", "demo-refused-1");
        demo.printDetail(unknown.json().encode());
        demo.check(unknown.refusal().equals("unknown-class"), "an unknown class");
        ApiClient.Reply mismatch = demo.operation("sag-1", "sagarmatha/remittance", "top-up", "demo-refused-2");
        demo.check(mismatch.refusal().equals("unknown-operation"), "an operation that another service has");
        ApiClient.Reply unauthorized = demo.apply("sag-1", "nobody", "demo-4", 0, "{}");
        demo.check(unauthorized.refusal().equals("unauthorized"), "a change without a credential");
    }

    private static void checkLeaderFailover(Demonstration demo) throws IOException, InterruptedException {
        demo.printTitle("The leading control host is killed, and the other partner changes its declaration");
        String leader = demo.get("spx-3", "/v1/status").json().getString("leader");
        demo.printDetail("killing " + leader);
        ProcessHandle.of(demo.processId(leader)).ifPresent(ProcessHandle::destroyForcibly);
        String host = leader.equals("sag-1") ? "sag-2" : "sag-4";
        String declaration = TextFiles.read(demo.folder().resolve("spinifex.json"))
                .replace("\"deadlineMs\": 500", "\"deadlineMs\": 550");
        long startNanos = System.nanoTime();
        long[] revision = {-1};
        demo.await(() -> {
            revision[0] = applyUnchecked(demo, host, declaration);
            return revision[0] > 0;
        });
        long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
        demo.check(revision[0] == 3, "accepted as revision " + revision[0] + " after " + tookMillis + " ms");
        ApiClient.Reply reply = demo.operation(host, WALLET, "top-up", "demo-top-up");
        demo.check(reply.json().getBoolean("replayed", false), "the top-up from before is still known to have run");
        demo.check(isWhole(demo.query(host, FRAUD, "dispute-history", "demo-after-kill")), "and queries are whole");
    }

    private static long applyUnchecked(Demonstration demo, String host, String declaration) {
        try {
            return demo.apply(host, "spinifex", "demo-5", 2, declaration).json().getLong("revision", -1L);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static boolean hasQuorum(Demonstration demo, String host) {
        try {
            return demo.get(host, "/v1/status").json().getBoolean("quorum", false);
        } catch (IOException unreachable) {
            return false;
        }
    }

    private static long lowestRevision(Demonstration demo) {
        try {
            return demo.lowestRevision("spx-3");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static ApiClient.Reply queryUnchecked(
            Demonstration demo, String host, String service, String requestClass) {
        try {
            return demo.query(host, service, requestClass, "demo-ask");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static boolean isWhole(ApiClient.Reply reply) {
        JsonObject coverage = reply.json().getJsonObject("coverage");
        return reply.isOk()
                && coverage != null
                && coverage.getInteger("covered").equals(coverage.getInteger("shards"));
    }

    /** Returns true if an item of the answer is from another index version than the answer reports. */
    private static boolean isMixed(ApiClient.Reply reply) {
        String prefix = "v" + version(reply) + "-";
        for (Object result : reply.json().getJsonArray("results", new JsonArray())) {
            JsonArray items = ((JsonObject) result).getJsonObject("payload").getJsonArray("items");
            for (Object item : items) {
                if (!((String) item).startsWith(prefix)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static long version(ApiClient.Reply reply) {
        return reply.json().getLong("indexVersion", -1L);
    }

    private static String missing(ApiClient.Reply reply) {
        return reply.json()
                .getJsonObject("coverage", new JsonObject())
                .getJsonArray("missing", new JsonArray())
                .encode();
    }

    private static String summary(ApiClient.Reply reply) {
        if (!reply.isOk()) {
            return reply.json().encode();
        }
        return String.format(
                Locale.ROOT,
                "index version %d, coverage %s",
                version(reply),
                reply.json().getJsonObject("coverage").encode());
    }
}
