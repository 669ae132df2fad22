package org.bramblerack.daemon.control;

import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.lang.System.Logger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.lifecycle.BoundedStop;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.SuspendDetector;
import org.bramblerack.process.agreement.RaftAction;
import org.bramblerack.process.agreement.RaftNode;
import org.bramblerack.process.agreement.RaftTimings;
import org.bramblerack.process.agreement.StoredState;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ConfigurationDelta;
import org.bramblerack.wire.ConfigurationPull;
import org.bramblerack.wire.ControlRead;
import org.bramblerack.wire.ControlReadResult;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.Ping;
import org.bramblerack.wire.RaftMessage;
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.TablePull;
import org.jspecify.annotations.Nullable;

/**
 * The control role of a process: drives the replicated log and the state machine behind it.
 *
 * <p>One thread owns the log, the state and the files; all events are queued to it. Events that are queued together
 * share one disk sync. If the disk fails, the role serves nothing until the disk can be read and written again, and the
 * rest of the process continues. Public methods are safe for use by many threads.
 */
public final class ControlNode {
    private static final Logger LOGGER = System.getLogger(ControlNode.class.getName());
    private static final EventLog EVENTS = EventLog.of(ControlNode.class);
    /** How long to wait after a failed write before the disk is tried again. */
    private static final Duration DISK_RETRY_INTERVAL = Duration.ofMillis(250);

    private static final Duration TICK_INTERVAL = Duration.ofMillis(15);
    private static final int MAX_EVENTS_IN_BATCH = 1_000;
    private static final int MAX_QUEUED_EVENTS = 20_000;
    private static final long MIN_ENTRIES_TO_COMPACT = 2_000;
    private static final long MIN_LOG_BYTES_TO_COMPACT = 1024L * 1024;

    private final String self;
    private final ImmutableSortedSet<String> initialVoters;
    private final int tolerableFailures;
    private final RaftTimings timings;
    private final LogStore store;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final SuspendDetector suspendDetector;
    private final RandomGenerator random;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>(MAX_QUEUED_EVENTS);
    private final PendingCalls pendingCalls = new PendingCalls();
    private final DiskRoom diskRoom;
    private final ReplicatedState state = new ReplicatedState();
    private final TableSubscriptions subscriptions = new TableSubscriptions();
    private @Nullable RaftNode node;
    private @Nullable Thread thread;
    private volatile boolean running;
    private volatile boolean serving;
    private volatile boolean upToDate;
    private volatile Optional<String> leader = Optional.empty();
    private volatile ImmutableSortedSet<String> voters = ImmutableSortedSet.of();

    /**
     * Creates the role; nothing is read or sent before {@link #start}.
     *
     * @param initialVoters the voters that the cluster started with; empty for a host that joins later
     * @param tolerableFailures how many voters may fail at the same time
     */
    public ControlNode(
            String self,
            ImmutableSortedSet<String> initialVoters,
            int tolerableFailures,
            RaftTimings timings,
            LogStore store,
            PeerNetwork network,
            MonotonicClock clock,
            InstantSource wallClock,
            RandomGenerator random) {
        this.self = self;
        this.initialVoters = initialVoters;
        this.tolerableFailures = tolerableFailures;
        this.timings = timings;
        this.store = store;
        this.diskRoom = new DiskRoom(store, self);
        this.network = network;
        this.clock = clock;
        this.wallClock = wallClock;
        this.suspendDetector = new SuspendDetector(timings.electionTimeout(), clock.nowNanos(), wallClock.millis());
        this.random = random;
    }

    /**
     * Loads the stored state and starts the thread of the role.
     *
     * @throws DiskFault if the stored state is missing or corrupt
     */
    public synchronized void start() throws DiskFault {
        startFrom(store.load());
        running = true;
        Thread started = new Thread(this::runUntilStopped, self + "-control");
        started.setDaemon(true);
        started.start();
        thread = started;
    }

    private void startFrom(StoredState stored) {
        state.restore(stored.snapshot());
        RaftNode created =
                new RaftNode(self, initialVoters, tolerableFailures, timings, stored, random, clock.nowNanos());
        node = created;
        voters = created.voters();
        serving = true;
        openConnections();
    }

    /** Opens the connections to the other voters, because a message may be lost if its connection is not open. */
    private void openConnections() {
        voters.stream()
                .filter(voter -> !voter.equals(self))
                .forEach(voter -> network.send(voter, Envelope.newBuilder().setPing(Ping.getDefaultInstance())));
    }

    /** Stops the role, waits for its thread to end, and closes the files. */
    public synchronized void stop() {
        running = false;
        Thread started = thread;
        if (started == null) {
            return;
        }
        started.interrupt();
        BoundedStop.await(started, "the control role");
        thread = null;
    }

    /** Returns true until the role was stopped, or ended because a committed command cannot be parsed. */
    public boolean isRunning() {
        return running;
    }

    /**
     * Returns true if this host leads, or if it had recent contact with a leader and has applied everything up to the
     * leader's commit index.
     */
    public boolean isUpToDate() {
        return upToDate;
    }

    /** Returns the leader that this host knows, if any. */
    public Optional<String> leader() {
        return leader;
    }

    /** Returns the voters that this host knows. */
    public ImmutableSortedSet<String> voters() {
        return voters;
    }

    /** Starts replication to a host that requests to join; no effect if this host is not the leader. */
    public void addLearner(String host) {
        enqueue((raft, nowNanos) -> {
            raft.addLearner(host, nowNanos);
            return List.of();
        });
    }

    /** Handles a message of another voter. */
    public void receive(RaftMessage message) {
        enqueue((raft, nowNanos) -> raft.receive(message, nowNanos));
    }

    /** Proposes a command, which is rejected if this host is not the leader. */
    public Uni<ProposalResult> propose(Command command) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = enqueue((raft, nowNanos) -> {
                appendProposal(raft, command, emitter);
                return List.of();
            });
            if (!queued) {
                emitter.complete(new ProposalResult.Rejected("the control role is stopped or overloaded"));
            }
        });
    }

    /** Reads the replicated state; the result says whether it is current. */
    public Uni<ControlReadResult> read(ControlRead request) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = enqueue((raft, nowNanos) -> {
                requestRead(
                        raft,
                        () -> emitter.complete(readResult(request, true)),
                        () -> emitter.complete(readResult(request, false)));
                return List.of();
            });
            if (!queued) {
                emitter.complete(ControlReadResult.getDefaultInstance());
            }
        });
    }

    /** Returns the changes of the configuration that a host requests, and records the revision that it has in force. */
    public Uni<ConfigurationDelta> pull(ConfigurationPull pull) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = enqueue((raft, nowNanos) -> {
                state.recordInForce(pull, nowNanos);
                requestRead(
                        raft,
                        () -> emitter.complete(configurationChanges(pull, true)),
                        () -> emitter.complete(configurationChanges(pull, false)));
                return List.of();
            });
            if (!queued) {
                emitter.complete(ConfigurationDelta.getDefaultInstance());
            }
        });
    }

    /** Returns the changes of the fleet's tables that a host requests, once there are any or after a bounded wait. */
    public Uni<TableDelta> pullTables(TablePull pull) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = enqueue((raft, nowNanos) -> {
                subscriptions.add(pull.getKnownRevision(), emitter, nowNanos);
                return List.of();
            });
            if (!queued) {
                emitter.complete(TableDelta.getDefaultInstance());
            }
        });
    }

    /**
     * Reads the tables as this host has applied them.
     *
     * @param reader gets the tables and whether this host is up to date; must not modify them
     * @return the reader's result, or a failure if the role has stopped
     */
    public <T> Uni<T> withTables(TableReader<T> reader) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = enqueue((raft, nowNanos) -> {
                emitter.complete(reader.read(state.tables(), raft.isUpToDate(nowNanos), nowNanos));
                return List.of();
            });
            if (!queued) {
                emitter.fail(new IllegalStateException("the control role is stopped or overloaded"));
            }
        });
    }

    /** Returns true if this host leads. */
    public boolean isLeader() {
        return leader.equals(Optional.of(self));
    }

    private boolean enqueue(Event event) {
        return running && serving && events.offer(event);
    }

    private void runUntilStopped() {
        try {
            while (running) {
                runBatchOrRecoverDisk();
            }
        } catch (InterruptedException stopped) {
            LOGGER.log(Logger.Level.DEBUG, "the control role was interrupted to stop");
        } catch (UnreadableCommandException fault) {
            LOGGER.log(Logger.Level.ERROR, "the control role of {0} ended: {1}", self, fault.getMessage());
        } finally {
            running = false;
            leader = Optional.empty();
            store.close();
            failPendingCalls();
        }
    }

    private void runBatchOrRecoverDisk() throws InterruptedException, UnreadableCommandException {
        try {
            runBatch();
        } catch (DiskFault fault) {
            EVENTS.warning("disk_failed")
                    .with("voter", self)
                    .with("reason", String.valueOf(fault.getMessage()))
                    .write();
            awaitDiskRecovery();
        }
    }

    /**
     * Stops serving until the stored state can be loaded and synced again, and continues from it as after a restart,
     * because it is unknown how much of the failed write reached the disk.
     */
    private void awaitDiskRecovery() throws InterruptedException {
        serving = false;
        upToDate = false;
        leader = Optional.empty();
        store.close();
        failPendingCalls();
        while (running) {
            Thread.sleep(DISK_RETRY_INTERVAL.toMillis());
            try {
                startFrom(store.load());
                EVENTS.info("disk_recovered").with("voter", self).write();
                return;
            } catch (DiskFault stillFailing) {
                LOGGER.log(Logger.Level.DEBUG, "the disk of {0} still fails: {1}", self, stillFailing.getMessage());
            }
        }
    }

    private void runBatch() throws InterruptedException, UnreadableCommandException, DiskFault {
        RaftNode raft = node;
        if (raft == null) {
            throw new IllegalStateException("not started");
        }
        List<Event> batch = new ArrayList<>();
        Event first = events.poll(TICK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
        if (first != null) {
            batch.add(first);
            events.drainTo(batch, MAX_EVENTS_IN_BATCH);
        }
        long nowNanos = clock.nowNanos();
        diskRoom.checkIfDue(nowNanos);
        List<RaftAction> actions = new ArrayList<>();
        if (suspendDetector.wasSuspended(nowNanos, wallClock.millis())) {
            EVENTS.warning("suspended").with("voter", self).write();
            actions.addAll(raft.onResume(nowNanos));
        }
        for (Event event : batch) {
            actions.addAll(event.run(raft, nowNanos));
        }
        actions.addAll(raft.tick(nowNanos));
        actions.addAll(raft.flush(nowNanos));
        execute(actions);
        upToDate = raft.isUpToDate(nowNanos);
        subscriptions.completeDue(state.tables(), upToDate, nowNanos);
        if (raft.appliedSinceSnapshot() >= MIN_ENTRIES_TO_COMPACT
                && store.logBytes() >= Math.max(MIN_LOG_BYTES_TO_COMPACT, 2 * state.lastSnapshotBytes())) {
            execute(raft.compact(state.takeSnapshot()));
        }
    }

    private void execute(List<RaftAction> actions) throws UnreadableCommandException, DiskFault {
        store.store(actions);
        for (RaftAction action : actions) {
            if (action instanceof RaftAction.Send send) {
                network.send(send.message().getTo(), Envelope.newBuilder().setRaft(send.message()));
            } else if (action instanceof RaftAction.Apply apply) {
                apply(apply);
            } else if (action instanceof RaftAction.RestoreSnapshot restore) {
                state.restore(restore.state());
            } else if (action instanceof RaftAction.ProposalLost lost) {
                pendingCalls.complete(lost.token(), new ProposalResult.Undecided("the leader changed"));
            } else if (action instanceof RaftAction.ReadReady ready) {
                pendingCalls.completeRead(ready.token());
            } else if (action instanceof RaftAction.ReadFailed failed) {
                pendingCalls.failRead(failed.token());
            } else if (action instanceof RaftAction.VotersChanged changed) {
                voters = changed.voters();
                EVENTS.info("voters_changed")
                        .with("voter", self)
                        .with("voters", String.join(" ", voters))
                        .write();
            } else if (action instanceof RaftAction.RoleChanged changed) {
                leader = changed.leader();
                EVENTS.info("role_changed")
                        .with("voter", self)
                        .with("role", changed.role().name())
                        .with("term", changed.term())
                        .with("leader", changed.leader().orElse(""))
                        .write();
            }
        }
    }

    private void apply(RaftAction.Apply apply) throws UnreadableCommandException {
        CommandResult result = applyToState(apply.entry());
        if (apply.token().isPresent()) {
            pendingCalls.complete(apply.token().get(), new ProposalResult.Applied(result));
        }
    }

    private CommandResult applyToState(LogEntry entry) throws UnreadableCommandException {
        try {
            return state.apply(entry);
        } catch (InvalidProtocolBufferException malformed) {
            throw new UnreadableCommandException(
                    "a committed command cannot be parsed; run the program version that wrote it");
        }
    }

    private void appendProposal(RaftNode raft, Command command, UniEmitter<? super ProposalResult> emitter) {
        if (diskRoom.isNearlyFull()) {
            emitter.complete(new ProposalResult.Rejected("the leader's disk is nearly full; make room on " + self));
            return;
        }
        long token = pendingCalls.nextToken();
        if (raft.propose(token, command.toByteString())) {
            pendingCalls.addProposal(token, emitter);
        } else {
            emitter.complete(new ProposalResult.Rejected("this host does not lead"));
        }
    }

    private void requestRead(RaftNode raft, Runnable ready, Runnable failed) {
        long token = pendingCalls.nextToken();
        if (raft.read(token)) {
            pendingCalls.addRead(token, ready, failed);
        } else {
            failed.run();
        }
    }

    private ConfigurationDelta configurationChanges(ConfigurationPull pull, boolean confirmed) {
        return state.changesSince(pull.getKnownRevision(), confirmed, leader.orElse(""));
    }

    private ControlReadResult readResult(ControlRead request, boolean current) {
        return state.read(request, clock.nowNanos())
                .setCurrent(current)
                .setLeader(leader.orElse(""))
                .setTerm(node == null ? 0 : node.term())
                .build();
    }

    private void failPendingCalls() {
        pendingCalls.failAll("the control role ended, or waits for its disk");
        subscriptions.completeAll();
    }

    /** A task for the thread of the role. */
    @FunctionalInterface
    private interface Event {
        List<RaftAction> run(RaftNode raft, long nowNanos);
    }

    /** Ends the role because a committed command cannot be parsed. */
    private static final class UnreadableCommandException extends Exception {
        private static final long serialVersionUID = 1L;

        UnreadableCommandException(String message) {
            super(message);
        }
    }
}
