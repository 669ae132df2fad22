package org.bramblerack.cli.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds loopback ports that nothing listens on.
 *
 * <p>All are below 15,000, under the usual ranges of ephemeral ports, so that no outgoing connection takes a port
 * before its use. Safe for use by many threads.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 2_000;
    private static final int PORT_COUNT = 13_000;
    private static final int STRIDE = 997;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % PORT_COUNT));

    private FreePorts() {}

    /**
     * Returns a port that was not returned before in this process.
     *
     * @throws IOException if none is free
     */
    public static int next() throws IOException {
        for (int tried = 0; tried < PORT_COUNT; tried++) {
            int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1)
                + " is free; stop programs that listen on these ports");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
