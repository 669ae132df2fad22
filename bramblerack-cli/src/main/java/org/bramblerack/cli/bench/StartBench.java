package org.bramblerack.cli.bench;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures the CPU time of a start: of the entry role as deployed, from exec until it is warmed up, and of a process
 * with the same JVM flags over its first leaf calls, including stand-in leaves and callers.
 */
final class StartBench implements Bench {
    /** The first word of each result line that {@link StartProbe} prints. */
    static final String STEP = "step";

    private static final int ROUNDS = 3;
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(30);
    private static final Path PLATFORM_JAR = Path.of("platform/target/bramblerack-platform.jar");
    private static final ImmutableList<String> EVENTS = ImmutableList.of("settings_read", "warmed_up", "started");
    private static final ImmutableList<String> JVM_FLAGS = ImmutableList.of(
            "-Xmx160m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Djava.net.preferIPv4Stack=true",
            "-Dslf4j.internal.verbosity=ERROR");
    private static final String SETTINGS = """
            {"name": "start", "zone": "z", "region": "r", "zones": [{"name": "z", "region": "r"}],
            "machineAddress": "127.0.0.1", "firstPeerPort": %d, "seeds": ["127.0.0.1:%d"], "firstStart": false,
            "callerAddress": "127.0.0.1:%d", "readinessAddress": "127.0.0.1:%d", "lossesBorne": 0,
            "stopLimitSeconds": 6, "extraAttemptsShare": 0.2, "extraAttemptsSlack": 50,
            "extraAttemptsWindowSeconds": 10}
            """;

    @Override
    public String name() {
        return "start";
    }

    @Override
    public String summary() {
        return "processor time from exec to settings read, to warm, and to the 45th, 400th and 4,000th leaf call";
    }

    @Override
    public boolean run(Report report, long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("start");
        for (int round = 0; round < ROUNDS; round++) {
            if (Files.exists(PLATFORM_JAR)) {
                measureDeployedRole(report, folder);
            } else {
                report.line(
                        "%s is not built: run the build line of deploy/system.toml for the deployed role",
                        PLATFORM_JAR);
            }
            measureLeafCalls(report);
        }
        return true;
    }

    /** Runs the entry role by the command line of {@code deploy/system.toml}, without any control host. */
    private static void measureDeployedRole(Report report, Path folder) throws IOException, InterruptedException {
        int firstPort = FreePorts.next();
        Path settings = folder.resolve("settings.json");
        Files.writeString(settings, SETTINGS.formatted(firstPort, firstPort, firstPort + 6, firstPort + 7));
        List<String> command = new ArrayList<>(deployedCommand());
        command.add(1, "-Dbramblerack.settings=" + settings);
        ProcessBuilder builder = new ProcessBuilder(command);
        readOutput(builder, EVENTS.get(EVENTS.size() - 1), (process, line) -> {
            for (String event : EVENTS) {
                if (line.contains("\"event\":\"" + event + "\"")) {
                    report.line("entry role, %-14s %6d ms of processor time", event, cpuMillis(process.toHandle()));
                }
            }
        });
    }

    private static List<String> deployedCommand() throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles.entry]") : inRole;
            if (inRole && line.startsWith("run = ")) {
                return Splitter.on(' ').splitToList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
            }
        }
        throw new IOException("deploy/system.toml has no run line in [roles.entry]; add one");
    }

    private static void measureLeafCalls(Report report) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), StartProbe.class.getName()));
        readOutput(new ProcessBuilder(command), "", (process, line) -> {
            List<String> words = Splitter.on(' ').splitToList(line);
            if (words.get(0).equals(STEP)) {
                report.line("%5s leaf calls from cold code %6s ms of processor time", words.get(1), words.get(2));
                report.point("calls", Integer.parseInt(words.get(1)), Integer.parseInt(words.get(2)));
            }
        });
    }

    /** Passes each output line of a process to the handler, until the last event is logged or the process ends. */
    private static void readOutput(ProcessBuilder builder, String lastEvent, LineHandler handler)
            throws IOException, InterruptedException {
        Process process = builder.redirectErrorStream(true).start();
        try (BufferedReader lines = process.inputReader()) {
            String line = lines.readLine();
            while (line != null) {
                handler.take(process, line);
                boolean last = !lastEvent.isEmpty() && line.contains("\"event\":\"" + lastEvent + "\"");
                line = last ? null : lines.readLine();
            }
        } finally {
            process.destroy();
            if (!process.waitFor(EXIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }

    /** Returns the CPU time that a process has used, at the resolution of the kernel's accounting (often 10 ms). */
    static long cpuMillis(ProcessHandle process) {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    private interface LineHandler {
        void take(Process process, String line);
    }
}
