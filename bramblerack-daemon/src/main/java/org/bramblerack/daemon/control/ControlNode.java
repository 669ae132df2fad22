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
 * The control role of a process: drives the replicated log and the state that it builds.
 *
 * <p>One thread owns the log, the state and the files; all events are handed to it. Events that come together share one
 * sync. If the disk fails the role ends and the rest of the process goes on. Public methods are safe for use by many
 * threads.
 */
public final class ControlNode {
    private static final Logger LOGGER = System.getLogger(ControlNode.class.getName());
    private static final EventLog EVENTS = EventLog.of(ControlNode.class);
    /** How long after a failed write the disk is tried again: a full disk of the platform stays full for seconds. */
    private static final Duration DISK_RETRY = Duration.ofMillis(250);

    private static final Duration TICK = Duration.ofMillis(15);
    private static final int MAX_EVENTS_IN_BATCH = 1_000;
    private static final int MAX_EVENTS_WAITING = 20_000;
    private static final long LEAST_ENTRIES_TO_COMPACT = 2_000;
    private static final long LEAST_BYTES_TO_COMPACT = 1024L * 1024;

    private final String self;
    private final ImmutableSortedSet<String> firstVoters;
    private final int lossesBorne;
    private final RaftTimings timings;
    private final LogStore store;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final SuspendDetector suspendWatch;
    private final RandomGenerator random;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>(MAX_EVENTS_WAITING);
    private final PendingCalls calls = new PendingCalls();
    private final DiskRoom diskRoom;
    private final AgreedState state = new AgreedState();
    private final TableSubscriptions subscriptions = new TableSubscriptions();
    private @Nullable RaftNode node;
    private @Nullable Thread thread;
    private volatile boolean running;
    private volatile boolean serving;
    private volatile boolean inTouch;
    private volatile Optional<String> leader = Optional.empty();
    private volatile ImmutableSortedSet<String> voters = ImmutableSortedSet.of();

    /**
     * Creates the role; nothing is read or sent before {@link #start}.
     *
     * @param firstVoters the voters that the system began with; empty for a host that came later
     * @param lossesBorne how many voters may be lost at once
     */
    public ControlNode(
            String self,
            ImmutableSortedSet<String> firstVoters,
            int lossesBorne,
            RaftTimings timings,
            LogStore store,
            PeerNetwork network,
            MonotonicClock clock,
            InstantSource wallClock,
            RandomGenerator random) {
        this.self = self;
        this.firstVoters = firstVoters;
        this.lossesBorne = lossesBorne;
        this.timings = timings;
        this.store = store;
        this.diskRoom = new DiskRoom(store, self);
        this.network = network;
        this.clock = clock;
        this.wallClock = wallClock;
        this.suspendWatch = new SuspendDetector(timings.electionTimeout(), clock.nowNanos(), wallClock.millis());
        this.random = random;
    }

    /**
     * Reads what was stored and begins to take part.
     *
     * @throws DiskFault if what was stored cannot be trusted
     */
    public synchronized void start() throws DiskFault {
        begin(store.load());
        running = true;
        Thread started = new Thread(this::runUntilStopped, self + "-control");
        started.setDaemon(true);
        started.start();
        thread = started;
    }

    private void begin(StoredState stored) {
        state.restore(stored.snapshot());
        RaftNode created = new RaftNode(self, firstVoters, lossesBorne, timings, stored, random, clock.nowNanos());
        node = created;
        voters = created.voters();
        serving = true;
        openLinks();
    }

    /** Opens the links to the other voters: the first message on a link that is not open is lost. */
    private void openLinks() {
        voters.stream()
                .filter(voter -> !voter.equals(self))
                .forEach(voter -> network.send(voter, Envelope.newBuilder().setPing(Ping.getDefaultInstance())));
    }

    /** Stops taking part, waits for the thread to end, and closes the files. */
    public synchronized void stop() {
        running = false;
        Thread started = thread;
        if (started == null) {
            return;
        }
        started.interrupt();
        try {
            started.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        thread = null;
    }

    /** Returns true until the role was stopped, or ended because an agreed command cannot be read. */
    public boolean isRunning() {
        return running;
    }

    /** Returns true if this host leads, or heard of late from a leader and has applied what it said was agreed. */
    public boolean isInTouch() {
        return inTouch;
    }

    /** Returns the leader that this host knows of. */
    public Optional<String> leader() {
        return leader;
    }

    /** Returns the voters that this host knows of. */
    public ImmutableSortedSet<String> voters() {
        return voters;
    }

    /** Takes the wish of a host to get the log and to vote; only a leader grants it. */
    public void admit(String host) {
        offer((raft, nowNanos) -> {
            raft.addLearner(host, nowNanos);
            return List.of();
        });
    }

    /** Takes a message of another voter. */
    public void receive(RaftMessage message) {
        offer((raft, nowNanos) -> raft.receive(message, nowNanos));
    }

    /** Offers a command; it is taken only if this host leads. */
    public Uni<ProposalResult> propose(Command command) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = offer((raft, nowNanos) -> {
                proposeNow(raft, command, emitter);
                return List.of();
            });
            if (!queued) {
                emitter.complete(new ProposalResult.NotTaken("the control role is stopped or overloaded"));
            }
        });
    }

    /** Reads the agreed state; the result says whether it is current. */
    public Uni<ControlReadResult> read(ControlRead request) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = offer((raft, nowNanos) -> {
                readNow(
                        raft,
                        () -> emitter.complete(result(request, true)),
                        () -> emitter.complete(result(request, false)));
                return List.of();
            });
            if (!queued) {
                emitter.complete(ControlReadResult.getDefaultInstance());
            }
        });
    }

    /** Answers a host that asks for changes of the configuration. */
    public Uni<ConfigurationDelta> pull(ConfigurationPull pull) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = offer((raft, nowNanos) -> {
                state.hear(pull, nowNanos);
                readNow(
                        raft,
                        () -> emitter.complete(changes(pull, true)),
                        () -> emitter.complete(changes(pull, false)));
                return List.of();
            });
            if (!queued) {
                emitter.complete(ConfigurationDelta.getDefaultInstance());
            }
        });
    }

    /** Answers a host that follows the tables of the fleet, once they have changed or a moment has passed. */
    public Uni<TableDelta> pullTables(TablePull pull) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = offer((raft, nowNanos) -> {
                subscriptions.add(pull.getKnownRevision(), emitter, nowNanos);
                return List.of();
            });
            if (!queued) {
                emitter.complete(TableDelta.getDefaultInstance());
            }
        });
    }

    /**
     * Looks at the agreed tables as they were applied here.
     *
     * @param reader takes the tables, to be read only, and whether this host is in touch with a leader
     * @return what the reader returns, or a failure if the role has stopped
     */
    public <T> Uni<T> withTables(TableReader<T> reader) {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued = offer((raft, nowNanos) -> {
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

    private boolean offer(Event event) {
        return running && serving && events.offer(event);
    }

    private void runUntilStopped() {
        try {
            while (running) {
                runBatchOrAwaitDisk();
            }
        } catch (InterruptedException stopped) {
            LOGGER.log(Logger.Level.DEBUG, "the control role stops");
        } catch (RoleEnded fault) {
            LOGGER.log(Logger.Level.ERROR, "the control role of {0} ended: {1}", self, fault.getMessage());
        } finally {
            running = false;
            leader = Optional.empty();
            store.close();
            failEverything();
        }
    }

    private void runBatchOrAwaitDisk() throws InterruptedException, RoleEnded {
        try {
            runBatch();
        } catch (DiskFault fault) {
            EVENTS.warning("disk_failed")
                    .with("voter", self)
                    .with("reason", String.valueOf(fault.getMessage()))
                    .write();
            awaitDisk();
        }
    }

    /**
     * Takes no part until what is stored can be read and synced again, and goes on from that, as after a restart: what
     * the failed write left behind is unknown until then.
     */
    private void awaitDisk() throws InterruptedException {
        serving = false;
        inTouch = false;
        leader = Optional.empty();
        store.close();
        failEverything();
        while (running) {
            Thread.sleep(DISK_RETRY.toMillis());
            try {
                begin(store.load());
                EVENTS.info("disk_recovered").with("voter", self).write();
                return;
            } catch (DiskFault stillFailing) {
                LOGGER.log(Logger.Level.DEBUG, "the disk of {0}: {1}", self, stillFailing.getMessage());
            }
        }
    }

    private void runBatch() throws InterruptedException, RoleEnded, DiskFault {
        RaftNode raft = node;
        if (raft == null) {
            throw new IllegalStateException("not started");
        }
        List<Event> batch = new ArrayList<>();
        Event first = events.poll(TICK.toNanos(), TimeUnit.NANOSECONDS);
        if (first != null) {
            batch.add(first);
            events.drainTo(batch, MAX_EVENTS_IN_BATCH);
        }
        long nowNanos = clock.nowNanos();
        diskRoom.look(nowNanos);
        List<RaftAction> actions = new ArrayList<>();
        if (suspendWatch.wasSuspended(nowNanos, wallClock.millis())) {
            EVENTS.warning("suspended").with("voter", self).write();
            actions.addAll(raft.onResume(nowNanos));
        }
        for (Event event : batch) {
            actions.addAll(event.run(raft, nowNanos));
        }
        actions.addAll(raft.tick(nowNanos));
        actions.addAll(raft.flush(nowNanos));
        carryOut(actions);
        inTouch = raft.isUpToDate(nowNanos);
        subscriptions.answerDue(state.tables(), inTouch, nowNanos);
        if (raft.appliedSinceSnapshot() >= LEAST_ENTRIES_TO_COMPACT
                && store.logBytes() >= Math.max(LEAST_BYTES_TO_COMPACT, 2 * state.snapshotBytes())) {
            carryOut(raft.compact(state.takeSnapshot()));
        }
    }

    private void carryOut(List<RaftAction> actions) throws RoleEnded, DiskFault {
        store.store(actions);
        for (RaftAction action : actions) {
            if (action instanceof RaftAction.Send send) {
                network.send(send.message().getTo(), Envelope.newBuilder().setRaft(send.message()));
            } else if (action instanceof RaftAction.Apply apply) {
                apply(apply);
            } else if (action instanceof RaftAction.RestoreSnapshot restore) {
                state.restore(restore.state());
            } else if (action instanceof RaftAction.ProposalLost lost) {
                calls.complete(lost.token(), new ProposalResult.Undecided("the leader changed"));
            } else if (action instanceof RaftAction.ReadReady ready) {
                calls.readReady(ready.token());
            } else if (action instanceof RaftAction.ReadFailed failed) {
                calls.readFailed(failed.token());
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

    private void apply(RaftAction.Apply apply) throws RoleEnded {
        CommandResult result = resultOf(apply.entry());
        if (apply.token().isPresent()) {
            calls.complete(apply.token().get(), new ProposalResult.Applied(result));
        }
    }

    private CommandResult resultOf(LogEntry entry) throws RoleEnded {
        try {
            return state.apply(entry);
        } catch (InvalidProtocolBufferException malformed) {
            throw new RoleEnded("an agreed command cannot be read; run the program version that wrote it");
        }
    }

    private void proposeNow(RaftNode raft, Command command, UniEmitter<? super ProposalResult> emitter) {
        if (diskRoom.isNearlyFull()) {
            emitter.complete(new ProposalResult.NotTaken("the leader's disk is nearly full; make room on " + self));
            return;
        }
        long token = calls.nextToken();
        if (raft.propose(token, command.toByteString())) {
            calls.addProposal(token, emitter);
        } else {
            emitter.complete(new ProposalResult.NotTaken("this host does not lead"));
        }
    }

    private void readNow(RaftNode raft, Runnable ready, Runnable failed) {
        long token = calls.nextToken();
        if (raft.read(token)) {
            calls.addRead(token, ready, failed);
        } else {
            failed.run();
        }
    }

    private ConfigurationDelta changes(ConfigurationPull pull, boolean confirmed) {
        return state.changesSince(pull.getKnownRevision(), confirmed, leader.orElse(""));
    }

    private ControlReadResult result(ControlRead request, boolean current) {
        return state.read(request, clock.nowNanos())
                .setCurrent(current)
                .setLeader(leader.orElse(""))
                .setTerm(node == null ? 0 : node.term())
                .build();
    }

    private void failEverything() {
        calls.failAll("the control role ended, or waits for its disk");
        subscriptions.answerAll();
    }

    /** Something for the thread of the role to do. */
    @FunctionalInterface
    private interface Event {
        List<RaftAction> run(RaftNode raft, long nowNanos);
    }

    /** Ends the role. */
    private static final class RoleEnded extends Exception {
        private static final long serialVersionUID = 1L;

        RoleEnded(String message) {
            super(message);
        }
    }
}
