import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Starts the project's programs as processes on loopback addresses, with stand-ins for leafs, the operator and clients.
 *
 * <p>The commands come from the deploy file. Each machine has a loopback address of its own, and all use the same ports.
 */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Links have small windows. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private static final String[] ZONES = {"ktm-hall-a", "pkr-hall-b", "brt-hall-c"};
    private static final String[] REGIONS = {"bagmati", "gandaki", "koshi"};

    final Path repository;
    final Path folder;
    final List<Host> controls = new ArrayList<>();
    final List<Host> entries = new ArrayList<>();
    final List<Leaf> leaves = new CopyOnWriteArrayList<>();
    /** Further settings of all hosts, each preceded by a comma. */
    static String extraSettings = "";

    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final int net;
    private final int basePort;
    private final AtomicLong nextRequest = new AtomicLong(1);
    private volatile boolean closed;

    Rig(Path repository, Path record, int controlCount, int entryCount) throws IOException {
        this.repository = repository;
        this.folder = Files.createTempDirectory("bramblerack-review");
        this.record = new PrintWriter(Files.newBufferedWriter(record));
        int[] free = findFreeNetwork(controlCount + entryCount);
        this.net = free[0];
        this.basePort = free[1];
        for (int i = 0; i < controlCount; i++) {
            controls.add(new Host("core-" + i, "control", ip(10 + i), i % ZONES.length));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Host("edge-" + i, "entry", ip(30 + i), i % ZONES.length));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Thread beats = new Thread(this::sendHeartbeats, "heartbeats");
        beats.setDaemon(true);
        beats.start();
    }

    private String ip(int last) {
        return "127." + net + ".7." + last;
    }

    private static int[] findFreeNetwork(int hosts) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int net = 20 + (int) (Math.random() * 200);
            int base = 20_000 + (int) (Math.random() * 10_000);
            if (isFree("127." + net + ".7.10", 9464) && isFree("127." + net + ".7.30", base)) {
                return new int[] {net, base};
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException used) {
            return false;
        }
    }

    /** Writes a line to the record of the run. */
    void log(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, "%8.3f  ", (System.nanoTime() - startNanos) / 1e9)
                + String.format(Locale.ROOT, format, arguments);
        synchronized (record) {
            record.println(text);
        }
    }

    /** One machine with one process of the project. */
    final class Host {
        final String name;
        final String role;
        final String ip;
        final int zone;
        private Process process;
        private boolean first = true;
        int starts;

        Host(String name, String role, String ip, int zone) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
        }

        InetSocketAddress front() {
            return new InetSocketAddress(ip, basePort);
        }

        InetSocketAddress ready() {
            return new InetSocketAddress(ip, basePort + 1);
        }

        InetSocketAddress control() {
            return new InetSocketAddress(ip, basePort + 2);
        }

        void start() throws IOException {
            Path own = folder.resolve(name);
            Files.createDirectories(own.resolve("data"));
            Path settings = own.resolve("settings.json");
            Files.writeString(settings, settings(own.resolve("data")));
            first = false;
            starts++;
            ProcessBuilder builder = new ProcessBuilder(command(role))
                    .directory(repository.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(own.resolve("output").toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BRAMBLERACK_CONFIG", settings.toString());
            process = builder.start();
            log("start %s (%s, process %d)", name, role, process.pid());
        }

        private String settings(Path data) {
            String zones = Stream.of(0, 1, 2)
                    .map(i -> "{\"name\":\"" + ZONES[i] + "\",\"region\":\"" + REGIONS[i] + "\"}")
                    .collect(Collectors.joining(","));
            String seeds = controls.stream()
                    .limit(3)
                    .map(host -> "\"" + host.ip + ":" + (basePort + 2) + "\"")
                    .collect(Collectors.joining(","));
            String serves = role.equals("entry")
                    ? "\"callerAddress\":\"" + ip + ":" + basePort + "\",\"readinessAddress\":\"" + ip + ":"
                            + (basePort + 1) + "\""
                    : "\"dataFolder\":\"" + data + "\",\"controlAddress\":\"" + ip + ":" + (basePort + 2) + "\"";
            return "{\"name\":\"" + name + "\",\"zone\":\"" + ZONES[zone] + "\",\"region\":\"" + REGIONS[zone]
                    + "\",\"zones\":[" + zones + "],\"machineAddress\":\"" + ip + "\",\"firstPeerPort\":"
                    + (basePort + 10) + ",\"seeds\":[" + seeds + "],\"firstStart\":" + first + "," + serves
                    + ",\"lossesBorne\":1,\"stopLimitSeconds\":6,\"extraAttemptsShare\":0.2,"
                    + "\"extraAttemptsSlack\":54,\"extraAttemptsWindowSeconds\":10" + extraSettings + "}";
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        void signal(String name) throws IOException, InterruptedException {
            log("signal %s to %s", name, this.name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void awaitEnd(long millis) throws InterruptedException {
            process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        boolean isReady() {
            try (Client client = new Client(ready(), 500)) {
                return client.send("GET", "/bramblerack/ready", "x", Map.of(), new byte[0]).status == 200;
            } catch (IOException notYet) {
                return false;
            }
        }
    }

    private List<String> command(String role) throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("no role " + role + " in the deploy file");
        }
        return List.of(matcher.group(1).trim().split(" +"));
    }

    void startAll() throws IOException {
        for (Host host : controls) {
            host.start();
        }
        for (Host host : entries) {
            host.start();
        }
    }

    /** Waits until every entry host says that it is ready. */
    void awaitReady(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!entries.stream().allMatch(Host::isReady)) {
            if (System.nanoTime() > end) {
                throw new IOException("the entry hosts did not get ready");
            }
            Thread.sleep(100);
        }
        log("all entry hosts are ready");
    }

    /** Sends a configuration as the operator does, until it is acknowledged. */
    void putConfiguration(String document, long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; System.nanoTime() < end; i++) {
            Host host = controls.get(i % controls.size());
            try (Client client = new Client(host.control(), 1_000)) {
                Answer answer = client.send(
                        "PUT",
                        "/bramblerack/config",
                        "control",
                        Map.of("Content-Type", "application/json"),
                        document.getBytes(StandardCharsets.UTF_8));
                if (answer.status == 200) {
                    log("configuration acknowledged by %s", host.name);
                    return;
                }
                if (answer.status < 500) {
                    throw new IOException("configuration refused: " + answer.status + " " + answer.text());
                }
            } catch (java.net.SocketException | java.net.SocketTimeoutException | EOFException again) {
                // The operator moves on to another node.
            }
            Thread.sleep(150);
        }
        throw new IOException("the configuration was not acknowledged");
    }

    String nextRequestId() {
        return "r" + Long.toHexString(nextRequest.getAndIncrement());
    }

    private void sendHeartbeats() {
        while (!closed) {
            for (Leaf leaf : leaves) {
                leaf.beat();
            }
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    /** Creates a leaf and tells the control hosts of it from then on. */
    Leaf startLeaf(String service, int number, Work work) throws IOException {
        Leaf leaf = new Leaf(service, number, work);
        leaves.add(leaf);
        return leaf;
    }

    /** Creates a leaf that is cold for a time, as after a start during traffic. */
    Leaf startColdLeaf(String service, int number, Work work, long coldMillis) throws IOException {
        Leaf leaf = new Leaf(service, number, work);
        leaf.turnCold(coldMillis);
        leaves.add(leaf);
        return leaf;
    }

    /** What a leaf does with a request that is addressed to it. */
    interface Work {
        void serve(Leaf leaf, Request request, OutputStream out) throws IOException, InterruptedException;
    }

    /** A stand-in for a leaf. */
    final class Leaf {
        final String service;
        final String id;
        final int zone;
        private final ServerSocket server;
        private final Work work;
        private long sequence;
        volatile boolean acknowledged;
        /** While true, it reads nothing more from its connections, and answers nothing. */
        volatile boolean dark;
        /** Until when it is cold, by the clock of {@link System#nanoTime}. */
        private volatile long coldUntilNanos = System.nanoTime();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();

        Leaf(String service, int number, Work work) throws IOException {
            this.service = service;
            this.id = "i-" + service + "-" + number;
            this.zone = number % ZONES.length;
            this.work = work;
            this.server = new ServerSocket();
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.bind(new InetSocketAddress(ip(60), 0), 200);
            Thread acceptor = new Thread(this::accept, id);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    Thread thread = new Thread(() -> serve(socket), id + "-connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException ended) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    awaitLight();
                    Request request = Request.read(in);
                    if (request == null) {
                        return;
                    }
                    awaitLight();
                    String expected = request.header("expect-instance");
                    if (expected != null && !expected.equals(id)) {
                        reply(out, 421, request, "Not-Executed: 1\r\n", new byte[0]);
                    } else {
                        work.serve(this, request, out);
                    }
                }
            } catch (IOException | InterruptedException ended) {
                // The connection is over.
            } finally {
                sockets.remove(socket);
            }
        }

        private void awaitLight() throws InterruptedException {
            while (dark) {
                Thread.sleep(20);
            }
        }

        /** Answers as a sound leaf does: its signature, the echoed identifier and the whole body. */
        void answer(OutputStream out, Request request, byte[] body) throws IOException {
            reply(out, 200, request, "Server-Stamp: " + stamp(request) + "\r\n", body);
        }

        String stamp(Request request) {
            return id + "." + request.header("request-id");
        }

        void reply(OutputStream out, int status, Request request, String fields, byte[] body) throws IOException {
            String head = "HTTP/1.1 " + status + " x\r\nRequest-Id: " + request.header("request-id") + "\r\n" + fields
                    + "Content-Length: " + body.length + "\r\n\r\n";
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            out.write(bytes.toByteArray());
            out.flush();
        }

        /** Turns cold for a time, from now on, and reports it at once. */
        void turnCold(long millis) {
            coldUntilNanos = System.nanoTime() + millis * 1_000_000;
            beat();
        }

        long coldLeftMillis() {
            return Math.max(0, (coldUntilNanos - System.nanoTime()) / 1_000_000);
        }

        private synchronized void beat() {
            sequence++;
            String body = "{\"service\":\"" + service + "\",\"addr\":\"" + ip(60) + ":" + server.getLocalPort()
                    + "\",\"zone\":\"" + ZONES[zone] + "\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
                    + "\"coldLeftMs\":" + coldLeftMillis() + ",\"seq\":" + sequence + "}";
            for (Host host : controls) {
                try (Client client = new Client(host.control(), 1_000)) {
                    Answer answer = client.send(
                            "PUT",
                            "/bramblerack/leaves/" + id,
                            "control",
                            Map.of("Content-Type", "application/json"),
                            body.getBytes(StandardCharsets.UTF_8));
                    if (answer.status / 100 == 2) {
                        acknowledged = true;
                        return;
                    }
                } catch (IOException next) {
                    // The next node is called.
                }
            }
        }

        /** Ends as a crashed process does. */
        void crash() throws IOException {
            leaves.remove(this);
            server.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    void awaitLeaves(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!leaves.stream().allMatch(leaf -> leaf.acknowledged)) {
            if (System.nanoTime() > end) {
                throw new IOException("the leafs were not acknowledged");
            }
            Thread.sleep(100);
        }
        log("all leafs are acknowledged");
    }

    /** A request as a leaf reads it. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        static Request read(InputStream in) throws IOException {
            String line = readLine(in);
            if (line == null) {
                return null;
            }
            String[] words = line.split(" ");
            Map<String, String> headers = readHeaders(in);
            return new Request(words[0], words[1], headers, readBody(in, headers));
        }
    }

    /** An answer as a client reads it. */
    record Answer(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("the connection ended within a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return body;
    }

    /** A client's connection, kept for many requests. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(InetSocketAddress address, int timeoutMillis) throws IOException {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Answer send(String method, String target, String host, Map<String, String> headers, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection was closed without an answer");
            }
            Map<String, String> answerHeaders = readHeaders(in);
            return new Answer(Integer.parseInt(line.split(" ")[1]), answerHeaders, readBody(in, answerHeaders));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void killAll() {
        for (Host host : Stream.concat(controls.stream(), entries.stream()).toList()) {
            if (host.isAlive()) {
                host.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        killAll();
        synchronized (record) {
            record.flush();
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.err.println("logs: " + folder);
        }
    }
}
