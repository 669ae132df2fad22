package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** The head of a message: its first line, and its header fields by lower-case name. */
    record Head(String firstLine, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** An answer; {@code status} 0 stands for a connection that closed without a complete answer. */
    record Answer(int status, Head head, byte[] body, String failure) {
        static Answer none(String failure) {
            return new Answer(0, new Head("", Map.of()), new byte[0], failure);
        }

        String text() {
            return status == 0
                    ? "no complete answer: " + failure
                    : status + " " + head.fields() + " (" + body.length + " bytes)";
        }
    }

    /** Reads a head; returns null if the other side closed before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("closed within a head");
            }
            bytes.write(next);
            matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : next == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> fields = new TreeMap<>();
        for (int line = 1; line < lines.length; line++) {
            int colon = lines[line].indexOf(':');
            String name = lines[line].substring(0, colon).trim().toLowerCase(Locale.ROOT);
            fields.merge(name, lines[line].substring(colon + 1).trim(), (first, second) -> first + ", " + second);
        }
        return new Head(lines[0], fields);
    }

    static byte[] readBody(InputStream in, Head head) throws IOException {
        String length = head.field("content-length");
        if (length.isEmpty()) {
            return new byte[0];
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new EOFException("closed within a body");
        }
        return body;
    }

    /** One connection of a client. */
    static final class Connection implements Closeable {
        private final Socket socket = new Socket();
        private final InputStream in;

        /** Connects from a loopback address of the client's own. */
        Connection(String from, String host, int port) throws IOException {
            socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String path, Map<String, String> fields, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST") || method.equals("PUT")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
        }

        Answer receive(int timeoutMillis) {
            try {
                socket.setSoTimeout(timeoutMillis);
                Head head = readHead(in);
                if (head == null) {
                    return Answer.none("the connection was closed");
                }
                byte[] body = readBody(in, head);
                return new Answer(Integer.parseInt(head.firstLine().split(" ")[1]), head, body, "");
            } catch (IOException failure) {
                return Answer.none(failure.toString());
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException alreadyGone) {
                // Nothing is left to close.
            }
        }
    }

    /** Makes one call on a connection of its own. */
    static Answer call(
            String from, String host, int port, String method, String path, Map<String, String> fields, byte[] body) {
        try (Connection connection = new Connection(from, host, port)) {
            connection.send(method, path, fields, body);
            return connection.receive(1_000);
        } catch (IOException failure) {
            return Answer.none(failure.toString());
        }
    }
}
