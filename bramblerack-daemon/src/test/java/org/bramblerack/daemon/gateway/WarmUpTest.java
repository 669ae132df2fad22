package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.WarmUpPlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a warm-up serves its queries and ends when the first caller arrives. */
final class WarmUpTest {
    private static final CallHeaders NAMES = new CallHeaders(
            "Request-Id",
            "Deadline",
            "Expected",
            "Leaf-Id",
            "Signature",
            "Load",
            "Not-Run",
            "Retry-After",
            "P",
            "M",
            "Team");

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void itServesQueriesOfItsOwn() throws Exception {
        WarmUp.Size size = new WarmUp.Size(4, 3, Duration.ofSeconds(20));
        WarmUp warmUp = new WarmUp(NAMES, group, "127.0.0.1", freePort(), MonotonicClock.system(), size);
        warmUp.run();
        assertThat(warmUp.leafCalls()).isAtLeast(3 * 4);
    }

    @Test
    void itEndsWhenACallerComes() throws Exception {
        WarmUp warmUp =
                new WarmUp(NAMES, group, "127.0.0.1", freePort(), MonotonicClock.system(), () -> WarmUpPlan.Step.SERVE);
        warmUp.end();
        warmUp.run();
        assertThat(warmUp.leafCalls()).isEqualTo(0);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0)) {
            return 20_000 + any.getLocalPort() % 10_000;
        }
    }
}
