package org.bramblerack.daemon.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.smallrye.mutiny.Uni;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.DiskFault;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.agreement.RaftTimings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an order on a drained zone that is executed although its caller has left, or after a newer one. */
final class ZoneDrainOrdersTest {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final String SELF = "voter";
    private static final String ZONE = "north-1";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private ControlNode node;
    private ZoneDrainOrders orders;

    @BeforeEach
    void start(@TempDir Path folder) throws Exception {
        PeerNetwork network = PeerNetwork.byAddress(SELF, group, LinkPolicy.OPEN, new PeerTraffic());
        ImmutableSortedSet<String> voters = ImmutableSortedSet.of(SELF);
        node = newNode(folder, voters, network);
        ControlClient client = new ControlClient(SELF, voters, Optional.of(node), network, clock);
        orders = new ZoneDrainOrders(SELF, node, client, WAIT, clock);
        long deadlineNanos = System.nanoTime() + WAIT.toNanos();
        while (!node.isLeader()) {
            assertWithMessage("leads in time")
                    .that(System.nanoTime() < deadlineNanos)
                    .isTrue();
            Thread.sleep(10);
        }
    }

    private ControlNode newNode(Path folder, ImmutableSortedSet<String> voters, PeerNetwork network) throws DiskFault {
        FileLogStore store = new FileLogStore(folder);
        store.initialize();
        ControlNode created = new ControlNode(
                SELF,
                voters,
                0,
                RaftTimings.DEFAULT,
                store,
                network,
                clock,
                InstantSource.system(),
                new SplittableRandom(1));
        created.start();
        return created;
    }

    @AfterEach
    void stop() {
        node.stop();
        group.shutdownGracefully();
    }

    @Test
    void anOrderWhoseCallerHasLeftIsNotExecuted() {
        assertThat(execute(true, true)).isEqualTo(FleetOutcome.ACKNOWLEDGED);
        assertThat(execute(false, false)).isEqualTo(FleetOutcome.ABANDONED);
        assertThat(drainedZones()).containsExactly(ZONE);
    }

    /** The host is suspended between the check that the caller waits and the proposal. */
    @Test
    void anOrderThatIsDelayedAfterTheCheckDoesNotUndoANewerOne() throws Exception {
        execute(true, true);
        FleetOutcome late = takeBackWith(false, () -> {
            assertThat(execute(false, true)).isEqualTo(FleetOutcome.ACKNOWLEDGED);
            assertThat(execute(true, true)).isEqualTo(FleetOutcome.ACKNOWLEDGED);
        });
        assertThat(late).isEqualTo(FleetOutcome.ABANDONED);
        assertThat(drainedZones()).containsExactly(ZONE);
    }

    /** A newer order that repeats the state is newer all the same. */
    @Test
    void anOrderThatIsDelayedDoesNotUndoANewerOneThatChangedNothing() throws Exception {
        execute(true, true);
        FleetOutcome late =
                takeBackWith(false, () -> assertThat(execute(true, true)).isEqualTo(FleetOutcome.ACKNOWLEDGED));
        assertThat(late).isEqualTo(FleetOutcome.ABANDONED);
        assertThat(drainedZones()).containsExactly(ZONE);
    }

    @Test
    void aCallerWhoStillWaitsIsServedAfterAConcurrentOrder() throws Exception {
        execute(true, true);
        FleetOutcome concurrent =
                takeBackWith(true, () -> assertThat(execute(true, true)).isEqualTo(FleetOutcome.ACKNOWLEDGED));
        assertThat(concurrent).isEqualTo(FleetOutcome.ACKNOWLEDGED);
        assertThat(drainedZones()).isEmpty();
    }

    /**
     * Ends the drain by an order that is held between the check that its caller waits and its proposal.
     *
     * @param waitsLater whether the caller waits when he is checked again
     * @param newerOrders the orders that are executed meanwhile
     */
    private FleetOutcome takeBackWith(boolean waitsLater, Runnable newerOrders) throws Exception {
        HeldCaller caller = new HeldCaller();
        CompletableFuture<FleetOutcome> held =
                orders.execute(ZONE, false, caller).subscribeAsCompletionStage();
        CompletableFuture<Boolean> check = caller.nextCheck();
        newerOrders.run();
        check.complete(true);
        caller.nextCheck().complete(waitsLater);
        return held.get(WAIT.toSeconds(), TimeUnit.SECONDS);
    }

    private FleetOutcome execute(boolean drained, boolean callerWaits) {
        HeldCaller caller = new HeldCaller();
        CompletableFuture<FleetOutcome> outcome =
                orders.execute(ZONE, drained, caller).subscribeAsCompletionStage();
        try {
            caller.nextCheck().complete(callerWaits);
            return outcome.get(WAIT.toSeconds(), TimeUnit.SECONDS);
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }

    private ImmutableList<String> drainedZones() {
        return node.withTables(
                        (tables, upToDate, nowNanos) -> tables.drainedZones().asList())
                .await()
                .atMost(WAIT);
    }

    /** A caller whose checks the test answers. */
    private static final class HeldCaller implements OrderCaller {
        private final BlockingQueue<CompletableFuture<Boolean>> checks = new LinkedBlockingQueue<>();

        @Override
        public String address() {
            return "operator";
        }

        @Override
        public Uni<Boolean> awaitsAnswer() {
            CompletableFuture<Boolean> check = new CompletableFuture<>();
            checks.add(check);
            return Uni.createFrom().completionStage(check);
        }

        CompletableFuture<Boolean> nextCheck() throws InterruptedException {
            CompletableFuture<Boolean> check = checks.poll(WAIT.toSeconds(), TimeUnit.SECONDS);
            assertWithMessage("the caller is checked").that(check).isNotNull();
            return check;
        }
    }
}
