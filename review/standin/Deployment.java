package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs as processes on loopback addresses, started with the commands of the deploy file and with
 * settings like those of the deployment {@code swl-bramble}: three core machines, one or more edge machines.
 *
 * <p>Each machine has an address of its own, and all use the same ports, as DEPLOY.md says.
 */
final class Deployment implements AutoCloseable {
    static final List<String> ZONES = List.of("ktm-hall-a", "pkr-hall-b", "brt-hall-c");
    private static final Map<String, Object> ZONE_REGIONS = regions();
    /** The ports of all machines, counted from the first one; the first 16 are for traffic between machines. */
    private static final int FRONT_PORT = 24;

    private static final int CONTROL_PORT = 26;
    private static final int READY_PORT = 28;
    private static final int LEAF_PORT = 40;

    private final Path root;
    private final Path folder;
    private final Record record;
    private final String network;
    private final int firstPort;
    private final List<Machine> core = new ArrayList<>();
    private final List<Machine> edge = new ArrayList<>();

    Deployment(Path root, Record record, int edgeMachines) throws IOException {
        this.root = root;
        this.record = record;
        this.folder = Files.createTempDirectory("bramblerack-review-");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.network = "127." + random.nextInt(16, 250) + "." + random.nextInt(1, 250) + ".";
        this.firstPort = findFreePorts(network + "10", random);
        for (int number = 0; number < ZONES.size(); number++) {
            core.add(new Machine("core-" + number, "control", network + (10 + number), ZONES.get(number)));
        }
        for (int number = 0; number < edgeMachines; number++) {
            edge.add(new Machine("edge-" + number, "entry", network + (20 + number), ZONES.get(number % ZONES.size())));
        }
    }

    /** Returns the first of some ports that are free, below the range of the ports of outgoing connections. */
    private static int findFreePorts(String address, ThreadLocalRandom random) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int first = random.nextInt(20_000, 30_000);
            if (isFree(address, first)) {
                return first;
            }
        }
        throw new IOException("no free ports at " + address);
    }

    private static boolean isFree(String address, int first) {
        for (int port = first; port <= first + LEAF_PORT; port++) {
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(address))) {
                probe.getLocalPort();
            } catch (IOException inUse) {
                return false;
            }
        }
        return true;
    }

    private static Map<String, Object> regions() {
        Map<String, Object> regions = new LinkedHashMap<>();
        regions.put(ZONES.get(0), "bagmati");
        regions.put(ZONES.get(1), "gandaki");
        regions.put(ZONES.get(2), "koshi");
        return regions;
    }

    List<Machine> core() {
        return core;
    }

    List<Machine> edge() {
        return edge;
    }

    /** Returns a loopback address for a leaf or a client of this deployment. */
    String address(int number) {
        return network + number;
    }

    int frontPort() {
        return firstPort + FRONT_PORT;
    }

    int readyPort() {
        return firstPort + READY_PORT;
    }

    int controlPort() {
        return firstPort + CONTROL_PORT;
    }

    int leafPort() {
        return firstPort + LEAF_PORT;
    }

    void startAll() throws IOException {
        for (Machine machine : all()) {
            machine.start(true);
        }
    }

    private List<Machine> all() {
        return Stream.concat(core.stream(), edge.stream()).toList();
    }

    /** Ends all processes and removes their files. */
    @Override
    public synchronized void close() {
        all().forEach(Machine::kill);
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException left) {
            System.err.println("could not remove " + folder + ": " + left);
        }
    }

    /** One machine with one process. */
    final class Machine {
        private final String name;
        private final String role;
        private final String ip;
        private final String zone;
        private Process process;

        Machine(String name, String role, String ip, String zone) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
        }

        String name() {
            return name;
        }

        String ip() {
            return ip;
        }

        Process process() {
            return process;
        }

        Path log() {
            return folder.resolve(name + ".log");
        }

        /** Starts the process with the command of the deploy file, at the repository's root. */
        void start(boolean bootstrap) throws IOException {
            Path settings = folder.resolve(name + ".json");
            String template = Files.readString(root.resolve("platform/settings.json.template"));
            Files.writeString(settings, Template.fill(template, fields(bootstrap)));
            ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
            Map<String, String> caller = Map.copyOf(builder.environment());
            builder.environment().clear();
            for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (caller.containsKey(kept)) {
                    builder.environment().put(kept, caller.get(kept));
                }
            }
            builder.environment().put("BRAMBLERACK_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            record.line("%s started as process %d at %s", name, process.pid(), ip);
        }

        private List<String> command() throws IOException {
            String deploy = Files.readString(root.resolve("deploy/system.toml"), StandardCharsets.UTF_8);
            Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s*run\\s*=\\s*\"([^\"]*)\"")
                    .matcher(deploy);
            if (!run.find()) {
                throw new IOException("the deploy file has no command for the role " + role);
            }
            return List.of(run.group(1).split(" +"));
        }

        private Map<String, Object> fields(boolean bootstrap) throws IOException {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("node", name);
            fields.put("ip", ip);
            fields.put("zone", zone);
            fields.put("region", ZONE_REGIONS.get(zone));
            fields.put("zones", ZONE_REGIONS);
            fields.put("portRange", List.of(firstPort, firstPort + 15));
            fields.put("seeds", core.stream().map(machine -> machine.ip + ":" + controlPort()).toList());
            fields.put("bootstrap", bootstrap);
            fields.put("tolerate", Map.of("machines", 1, "zones", 0, "regions", 0));
            fields.put(
                    "bounds",
                    Map.of("graceS", 6, "retryRatio", 0.2, "retryWindowS", 10, "retrySlack", 54, "recoveryS", 12));
            if (role.equals("entry")) {
                fields.put("listen", Map.of("front", ip + ":" + frontPort(), "ready", ip + ":" + readyPort()));
            } else {
                fields.put("listen", Map.of("control", ip + ":" + controlPort()));
                fields.put("dataDir", Files.createDirectories(folder.resolve(name + "-data")).toString());
            }
            return fields;
        }

        /** Sends a signal to the process of this machine, by its id. */
        void signal(String signal) throws IOException, InterruptedException {
            record.line("SIG%s to %s, process %d", signal, name, process.pid());
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            if (process == null) {
                return;
            }
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
