package org.bramblerack.daemon.fleet;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.SetZoneDrain;

/**
 * Executes operators' orders to start or end the drain of an availability zone, whose leaves receive no requests
 * meanwhile.
 *
 * <p>An order carries no version, and this host may read it long after it was sent, when a newer order has been
 * acknowledged elsewhere. Therefore it first reads the number of the last order on the zone, then makes sure that the
 * caller still waits, and then proposes the order on the condition that it follows that number. An order whose caller
 * has given up is dropped; one that is delayed after the check has no effect if another order was accepted meanwhile.
 *
 * <p>Safe for use by many threads.
 */
final class ZoneDrainOrders {
    private static final EventLog EVENTS = EventLog.of(ZoneDrainOrders.class);

    private final String self;
    private final ControlNode node;
    private final ControlClient client;
    private final Duration timeout;
    private final MonotonicClock clock;

    /**
     * Creates the service.
     *
     * @param self the name of this control host
     * @param timeout how long an order may take
     */
    ZoneDrainOrders(String self, ControlNode node, ControlClient client, Duration timeout, MonotonicClock clock) {
        this.self = self;
        this.node = node;
        this.client = client;
        this.timeout = timeout;
        this.clock = clock;
    }

    /** Executes an order. Sending it again is safe. */
    Uni<FleetOutcome> execute(String zone, boolean drained, OrderCaller caller) {
        long receivedNanos = clock.nowNanos();
        SetZoneDrain order = SetZoneDrain.newBuilder()
                .setZone(zone)
                .setDrained(drained)
                .setReceivedBy(self)
                .setCaller(caller.address())
                .build();
        return node.withTables((tables, upToDate, nowNanos) -> tables.lastZoneOrder(zone))
                .chain(lastOrder -> proposeAfter(lastOrder, order, caller, receivedNanos + timeout.toNanos()))
                .invoke(outcome -> EVENTS.info("zone_drain_set")
                        .with("zone", zone)
                        .with("drained", drained)
                        .with("outcome", outcome.name())
                        .with("caller", caller.address())
                        .with("tookMillis", TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - receivedNanos))
                        .write());
    }

    /** Proposes an order that follows the given one, which must have been read after the order was received. */
    private Uni<FleetOutcome> proposeAfter(long lastOrder, SetZoneDrain order, OrderCaller caller, long deadlineNanos) {
        return caller.awaitsAnswer().chain(waits -> {
            if (!waits) {
                return Uni.createFrom().item(FleetOutcome.ABANDONED);
            }
            Command command = Command.newBuilder()
                    .setSetZoneDrain(order.toBuilder().setExpectedOrder(lastOrder))
                    .build();
            Duration remaining = Duration.ofNanos(deadlineNanos - clock.nowNanos());
            return client.propose(command, remaining).chain(result -> {
                if (result instanceof ProposalResult.Applied applied) {
                    return onApplied(applied.result(), order, caller, deadlineNanos);
                }
                return Uni.createFrom()
                        .item(
                                result instanceof ProposalResult.Rejected
                                        ? FleetOutcome.NOT_TAKEN
                                        : FleetOutcome.UNDECIDED);
            });
        });
    }

    private Uni<FleetOutcome> onApplied(
            CommandResult result, SetZoneDrain order, OrderCaller caller, long deadlineNanos) {
        if (result.getKind() != CommandResult.Kind.CONFLICT) {
            return Uni.createFrom().item(FleetOutcome.ACKNOWLEDGED);
        }
        if (clock.nowNanos() - deadlineNanos >= 0) {
            return Uni.createFrom().item(FleetOutcome.UNDECIDED);
        }
        // The tables of this host may lag; the result has the number that was current when the proposal was applied.
        return proposeAfter(result.getZoneOrder(), order, caller, deadlineNanos);
    }
}
