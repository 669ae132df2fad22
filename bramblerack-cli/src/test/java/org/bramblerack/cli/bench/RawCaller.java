package org.bramblerack.cli.bench;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

/**
 * A caller on a plain socket, which controls when each byte is sent and read. Confined to one thread.
 *
 * <p>A response that is not whole is reported by an exception that says whether the connection was closed or reset.
 */
final class RawCaller implements AutoCloseable {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(40);

    private final Socket socket;
    private final InputStream input;

    /**
     * Connects to a host.
     *
     * @param receiveBufferBytes the size of the socket's receive buffer; 0 for the default
     */
    RawCaller(HostAndPort address, int receiveBufferBytes) throws IOException {
        this.socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
        socket.connect(new InetSocketAddress(address.getHost(), address.getPort()));
        this.input = new BufferedInputStream(socket.getInputStream());
    }

    /** A response that was read whole. */
    record Response(int status, boolean closing, String body) {}

    /** Returns the bytes of a POST request. */
    static byte[] post(String path, String body) {
        return ("POST " + path + " HTTP/1.1\r\nHost: test\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    void send(byte[] bytes) throws IOException {
        send(bytes, 0, bytes.length);
    }

    void send(byte[] bytes, int from, int to) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(bytes, from, to - from);
        output.flush();
    }

    /**
     * Reads the next response.
     *
     * @throws EOFException if the connection was closed first
     */
    Response read() throws IOException {
        String statusLine = readLine();
        int status = Integer.parseInt(Splitter.on(' ').splitToList(statusLine).get(1));
        int lengthBytes = 0;
        boolean closing = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String lowerCase = line.toLowerCase(Locale.ROOT);
            if (lowerCase.startsWith("content-length:")) {
                lengthBytes = Integer.parseInt(
                        line.substring("content-length:".length()).trim());
            } else if (lowerCase.startsWith("connection:")) {
                closing = lowerCase.contains("close");
            }
        }
        byte[] body = input.readNBytes(lengthBytes);
        if (body.length < lengthBytes) {
            throw new EOFException("closed after " + body.length + " of " + lengthBytes + " bytes of a body");
        }
        return new Response(status, closing, new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("closed after \"" + line + "\" of a head");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
