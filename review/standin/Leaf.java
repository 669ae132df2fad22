package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in leaf that follows PROTOCOL.md: it names itself, echoes the request's id and signs its answers. */
final class Leaf implements AutoCloseable {
    static final int RECORD_BYTES = 16;

    /** What the leaf does with a request that it runs. */
    interface Work {
        void run(Request request) throws IOException, InterruptedException;
    }

    private final String service;
    private final String id;
    private final String ip;
    private final int port;
    private final String zone;
    private final Record record;
    private final ServerSocket listener;
    private final AtomicLong sequence = new AtomicLong();
    private volatile Work work;
    private volatile boolean closed;

    Leaf(String service, String id, String ip, int port, String zone, Record record, Work work) throws IOException {
        this.service = service;
        this.id = id;
        this.ip = ip;
        this.port = port;
        this.zone = zone;
        this.record = record;
        this.work = work;
        this.listener = new ServerSocket(port, 50, InetAddress.getByName(ip));
        Thread acceptor = new Thread(this::accept, "leaf-" + id);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    void setWork(Work next) {
        work = next;
    }

    /** Returns the body of the leaf's next heartbeat. */
    String heartbeat() {
        return String.format(
                "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":4,"
                        + "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":%d}",
                service, ip, port, zone, sequence.incrementAndGet());
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "leaf-" + id + "-connection");
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
            Http.Head head = Http.readHead(in);
            while (head != null) {
                handle(new Request(head, in, socket));
                head = Http.readHead(in);
            }
        } catch (SocketException | InterruptedException closedByCaller) {
            // The caller has given the call up, or the stand-in ends.
        } catch (IOException failure) {
            record.line("leaf %s: %s", id, failure);
        }
    }

    private void handle(Request request) throws IOException, InterruptedException {
        if (request.path().equals("/health")) {
            request.readBody();
            request.answer(200, Map.of("Instance-Id", id), new byte[0]);
        } else if (!request.head.field("Expect-Instance").isEmpty()
                && !request.head.field("Expect-Instance").equals(id)) {
            request.readBody();
            request.answer(421, Map.of("Not-Executed", "1"), new byte[0]);
        } else {
            work.run(request);
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException alreadyGone) {
            // Nothing is left to close.
        }
    }

    /** Returns records that depend on the signature alone, so that a client can compute them as well. */
    static byte[] recordsOf(String stamp, int count) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        for (int number = 0; number < count; number++) {
            byte[] digest = sha256(stamp + "/" + number);
            records.write(digest, 0, RECORD_BYTES);
        }
        return records.toByteArray();
    }

    static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** One request at this leaf. */
    final class Request {
        private final Http.Head head;
        private final InputStream in;
        private final Socket socket;

        Request(Http.Head head, InputStream in, Socket socket) {
            this.head = head;
            this.in = in;
            this.socket = socket;
        }

        String id() {
            return head.field("Request-Id");
        }

        String path() {
            return head.firstLine().split(" ")[1];
        }

        String service() {
            return service;
        }

        String leaf() {
            return id;
        }

        Http.Head head() {
            return head;
        }

        Socket socket() {
            return socket;
        }

        byte[] readBody() throws IOException {
            return Http.readBody(in, head);
        }

        /** The signature of this leaf's answer: service, leaf, request and status. */
        String stamp(int status) {
            return service + "." + id + "." + id() + "." + status;
        }

        /** Answers as a leaf that has run the request, with its signature. */
        void answerSigned(int status, byte[] body) throws IOException {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("Server-Stamp", stamp(status));
            answer(status, fields, body);
        }

        void answer(int status, Map<String, String> fields, byte[] body) throws IOException {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            if (!id().isEmpty()) {
                text.append("Request-Id: ").append(id()).append("\r\n");
            }
            fields.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
            text.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
        }
    }

    /** Returns the greatest records, falling, compared byte by byte. */
    static byte[] greatest(byte[] records, int count) {
        byte[][] split = new byte[records.length / RECORD_BYTES][];
        for (int number = 0; number < split.length; number++) {
            split[number] = Arrays.copyOfRange(records, number * RECORD_BYTES, (number + 1) * RECORD_BYTES);
        }
        Arrays.sort(split, (one, other) -> Arrays.compareUnsigned(other, one));
        ByteArrayOutputStream greatest = new ByteArrayOutputStream();
        for (int number = 0; number < Math.min(count, split.length); number++) {
            greatest.writeBytes(split[number]);
        }
        return greatest.toByteArray();
    }
}
