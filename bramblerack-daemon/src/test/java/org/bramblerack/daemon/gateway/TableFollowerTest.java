package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Range;
import com.google.common.net.HostAndPort;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.TablePull;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when the record of a host is sent to a control host that defers its answers. */
final class TableFollowerTest {
    private static final HostRecord READY = HostRecord.newBuilder()
            .setName("h")
            .setPhase(HostRecord.Phase.READY)
            .build();
    private static final HostRecord LEAVING =
            READY.toBuilder().setPhase(HostRecord.Phase.LEAVING).build();
    private static final long WAIT_MILLIS = 2_000;
    private static final long SERIES_MILLIS = 1_000;
    /** One per 100 ms, plus a margin. */
    private static final int MAX_PULLS_IN_SERIES = 14;

    private static final int CHANGES = 5;
    private static final long PAUSE_MILLIS = 300;
    private static final long MIN_PULL_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final PeerNetwork network = PeerNetwork.byAddress("127.0.0.1:1", group, LinkPolicy.OPEN, new PeerTraffic());
    private final BlockingQueue<TablePull> pulls = new LinkedBlockingQueue<>();
    private volatile Consumer<Envelope.Builder> replyLater = reply -> {};
    private final AtomicLong revision = new AtomicLong();
    private volatile boolean repliesAtOnce;
    private volatile Optional<HostRecord> self = Optional.empty();
    private PeerServer control;
    private TableFollower follower;

    @BeforeEach
    void start() throws Exception {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        control = new PeerServer(address, this::handle, group, LinkPolicy.OPEN, new PeerTraffic());
        control.start();
        FleetView view = GatewayFixture.view(group, MonotonicClock.system());
        follower = new TableFollower(
                view,
                document -> {
                    throw new IllegalStateException("unexpected configuration");
                },
                network,
                group.next(),
                MonotonicClock.system(),
                ImmutableList.of(address.toString()),
                () -> self,
                new SplittableRandom(1));
        follower.start();
    }

    @AfterEach
    void stop() {
        follower.stop();
        control.stop();
        network.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void aHostThatIsWarmingUpPullsWithoutItsRecord() throws Exception {
        assertThat(nextPull().hasSelf()).isFalse();
    }

    /** Guards against an announcement that waits for the answer to the deferred first pull. */
    @Test
    void aChangeOfTheHostRecordIsSentAtOnce() throws Exception {
        nextPull();
        self = Optional.of(READY);
        follower.announce();
        assertThat(nextPull().getSelf()).isEqualTo(READY);
        self = Optional.of(LEAVING);
        follower.announce();
        assertThat(nextPull().getSelf()).isEqualTo(LEAVING);
    }

    /** Guards against one pull per change while the leaves of a service start. */
    @Test
    void changesInASeriesAreBatched() throws Exception {
        nextPull();
        repliesAtOnce = true;
        replyLater.accept(newer());
        Thread.sleep(SERIES_MILLIS);
        assertThat(pulls.size()).isIn(Range.closed(3, MAX_PULLS_IN_SERIES));
    }

    /** Guards against a delay after a pull that was deferred until a change. */
    @Test
    void aChangeAfterAPauseIsFollowedByAPullAtOnce() throws Exception {
        nextPull();
        long fastestNanos = Long.MAX_VALUE;
        for (int change = 0; change < CHANGES; change++) {
            Thread.sleep(PAUSE_MILLIS);
            long startedNanos = System.nanoTime();
            replyLater.accept(newer());
            nextPull();
            fastestNanos = Math.min(fastestNanos, System.nanoTime() - startedNanos);
        }
        assertThat(fastestNanos).isLessThan(MIN_PULL_INTERVAL_NANOS);
    }

    private TablePull nextPull() throws InterruptedException {
        TablePull pull = pulls.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(pull).isNotNull();
        return pull;
    }

    private Envelope.Builder newer() {
        return Envelope.newBuilder()
                .setTableDelta(TableDelta.newBuilder()
                        .setRevision(revision.incrementAndGet())
                        .setCurrent(true));
    }

    private void handle(Envelope message, Consumer<Envelope.Builder> reply) {
        if (message.hasTablePull()) {
            pulls.add(message.getTablePull());
            replyLater = reply;
            if (repliesAtOnce) {
                reply.accept(newer());
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0)) {
            return any.getLocalPort();
        }
    }
}
