package org.bramblerack.daemon.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.agreement.RaftTimings;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.ControlRead;
import org.bramblerack.wire.ControlReadResult;
import org.bramblerack.wire.PutConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A full disk stops the control role from serving; it recovers without losing acknowledged changes. */
final class ControlNodeTest {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final String SELF = "voter";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicBoolean diskFull = new AtomicBoolean();
    private ControlNode node;

    @BeforeEach
    void start(@TempDir Path folder) throws DiskFault {
        FileLogStore store = new FileLogStore(folder, channel -> {
            if (diskFull.get()) {
                throw new IOException("no space left");
            }
        });
        store.initialize();
        PeerNetwork network = PeerNetwork.byAddress(SELF, group, LinkPolicy.OPEN, new PeerTraffic());
        node = new ControlNode(
                SELF,
                ImmutableSortedSet.of(SELF),
                0,
                RaftTimings.DEFAULT,
                store,
                network,
                MonotonicClock.system(),
                InstantSource.system(),
                new SplittableRandom(1));
        node.start();
        await(node::isLeader);
    }

    @AfterEach
    void stop() {
        node.stop();
        group.shutdownGracefully();
    }

    @Test
    void aFullDiskRejectsChangesAndLosesNoAcknowledgedOne() {
        assertThat(putConfiguration(1)).isInstanceOf(ProposalResult.Applied.class);
        diskFull.set(true);
        assertThat(putConfiguration(2)).isNotInstanceOf(ProposalResult.Applied.class);
        await(() -> !node.isUpToDate());
        assertThat(node.isRunning()).isTrue();
        assertThat(readConfiguration().getCurrent()).isFalse();
        diskFull.set(false);
        await(node::isLeader);
        await(() -> readConfiguration().getCurrent());
        assertThat(readConfiguration().getRoutingVersion()).isAtLeast(1);
        assertThat(putConfiguration(3)).isInstanceOf(ProposalResult.Applied.class);
        assertThat(readConfiguration().getRoutingVersion()).isEqualTo(3);
    }

    private ProposalResult putConfiguration(long version) {
        return node.propose(Command.newBuilder()
                        .setPutConfiguration(PutConfiguration.newBuilder()
                                .setVersion(version)
                                .setDocument(ByteString.copyFromUtf8("document " + version)))
                        .build())
                .await()
                .atMost(WAIT);
    }

    private ControlReadResult readConfiguration() {
        return node.read(ControlRead.newBuilder()
                        .setKind(ControlRead.Kind.ROUTING)
                        .build())
                .await()
                .atMost(WAIT);
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            assertWithMessage("in time").that(System.nanoTime() < deadlineNanos).isTrue();
            try {
                Thread.sleep(10);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
    }
}
