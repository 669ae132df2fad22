package org.bramblerack.daemon.entry;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.bramblerack.connection.HolderAssignment;
import org.bramblerack.connection.HolderOrder;
import org.bramblerack.daemon.holder.HolderService;
import org.bramblerack.daemon.holder.LeafCodec;
import org.bramblerack.daemon.peer.PeerFailure;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.HostState;
import org.bramblerack.process.MembershipTable;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.LeafCancel;

/**
 * Sends leaf calls to the hosts that hold the connections, which may include this host.
 *
 * <p>Invariant: a call is sent to a second holder only if the first certainly did not accept it, so this host never
 * sends an upstream the same call twice. Every call is completed exactly once, on a worker. Safe for use by many
 * threads.
 */
public final class LeafRouter {
    private static final Duration REPLY_GRACE = Duration.ofMillis(40);

    private final String self;
    private final ServiceDirectory directory;
    private final HolderService holders;
    private final MembershipTable membership;
    private final PeerNetwork network;
    private final Workers workers;
    private final MonotonicClock clock;
    private final Map<String, String> holderOfCall = new ConcurrentHashMap<>();

    /** Creates a router that takes the holders of an upstream from the directory. */
    public LeafRouter(
            String self,
            ServiceDirectory directory,
            HolderService holders,
            MembershipTable membership,
            PeerNetwork network,
            Workers workers,
            MonotonicClock clock) {
        this.self = self;
        this.directory = directory;
        this.holders = holders;
        this.membership = membership;
        this.network = network;
        this.workers = workers;
        this.clock = clock;
    }

    /** Sends a call to the first holder that accepts it. */
    public void send(LeafRequest request, Consumer<LeafOutcome> done) {
        Optional<HolderAssignment> assignment = directory.assignment(request.upstream());
        if (assignment.isEmpty()) {
            workers.run(() -> done.accept(new LeafOutcome.Failed(LeafFailure.HOLDER_UNREACHABLE)));
            return;
        }
        ImmutableList<String> holderOrder = HolderOrder.of(assignment.get(), this::stateOf);
        sendThrough(holderOrder, 0, request, done);
    }

    /** Cancels a call at the holder that it was sent to; no effect if it has ended. */
    public void cancel(String callId, UpstreamName upstream) {
        String holder = holderOfCall.get(callId);
        if (holder == null) {
            return;
        }
        if (holder.equals(self)) {
            holders.cancel(upstream, callId);
        } else {
            network.send(
                    holder,
                    Envelope.newBuilder()
                            .setLeafCancel(LeafCancel.newBuilder()
                                    .setCallId(callId)
                                    .setService(upstream.service().toString())
                                    .setUpstream(upstream.upstream())));
        }
    }

    private void sendThrough(
            ImmutableList<String> holderOrder, int position, LeafRequest request, Consumer<LeafOutcome> done) {
        if (position >= holderOrder.size()) {
            finish(request, new LeafOutcome.Failed(LeafFailure.HOLDER_UNREACHABLE), done);
            return;
        }
        String holder = holderOrder.get(position);
        holderOfCall.put(request.callId(), holder);
        Consumer<LeafOutcome> onOutcome = outcome -> {
            if (wasNotAccepted(outcome)) {
                sendThrough(holderOrder, position + 1, request, done);
            } else {
                finish(request, outcome, done);
            }
        };
        if (holder.equals(self)) {
            holders.submit(request, onOutcome);
        } else {
            sendToPeer(holder, request, onOutcome);
        }
    }

    private void sendToPeer(String holder, LeafRequest request, Consumer<LeafOutcome> onOutcome) {
        long nowNanos = clock.nowNanos();
        Duration timeout = Duration.ofNanos(Math.max(1, request.deadlineNanos() - nowNanos))
                .plus(REPLY_GRACE);
        network.request(holder, Envelope.newBuilder().setLeafCall(LeafCodec.toMessage(request, nowNanos)), timeout)
                .map(reply -> LeafCodec.toOutcome(reply.getLeafResult()))
                .onFailure()
                .recoverWithItem(failure -> new LeafOutcome.Failed(toLeafFailure(failure)))
                .subscribe()
                .with(outcome -> workers.run(() -> onOutcome.accept(outcome)));
    }

    private void finish(LeafRequest request, LeafOutcome outcome, Consumer<LeafOutcome> done) {
        holderOfCall.remove(request.callId());
        workers.run(() -> done.accept(outcome));
    }

    private HostState stateOf(String host) {
        return host.equals(self) ? HostState.LIVE : membership.state(host, clock.nowNanos());
    }

    private static boolean wasNotAccepted(LeafOutcome outcome) {
        return outcome instanceof LeafOutcome.Failed failed
                && (failed.failure() == LeafFailure.HOLDER_UNREACHABLE
                        || failed.failure() == LeafFailure.HOLDER_NOT_READY);
    }

    private static LeafFailure toLeafFailure(Throwable failure) {
        boolean notSent = failure instanceof PeerFailure peerFailure && peerFailure.kind() == PeerFailure.Kind.NOT_SENT;
        return notSent ? LeafFailure.HOLDER_UNREACHABLE : LeafFailure.HOLDER_LOST;
    }
}
