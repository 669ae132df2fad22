package org.bramblerack.process.members;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.SetZoneDrain;
import org.bramblerack.wire.ZoneOrder;

/**
 * The drained availability zones, and how many orders were accepted on each zone.
 *
 * <p>Invariant: an order that names the number which it follows changes the drained zones only if no other such order
 * on its zone has been accepted since. Not safe for use by several threads.
 */
final class ZoneDrains {
    private final SortedSet<String> drainedZones = new TreeSet<>();
    private final SortedMap<String, Long> orders = new TreeMap<>();

    /**
     * Applies an order.
     *
     * @return {@code ACCEPTED} if the drained zones changed, {@code SUPERSEDED} if they were as ordered already, or
     *     {@code CONFLICT} if a newer order demands the opposite
     */
    CommandResult.Kind apply(SetZoneDrain order) {
        String zone = order.getZone();
        boolean changes = drainedZones.contains(zone) != order.getDrained();
        if (changes && order.hasExpectedOrder() && order.getExpectedOrder() != lastOrder(zone)) {
            return CommandResult.Kind.CONFLICT;
        }
        if (order.hasExpectedOrder()) {
            // Also counts an order that changes nothing, so that an opposite one sent before it has no effect.
            orders.merge(zone, 1L, Long::sum);
        }
        if (!changes) {
            return CommandResult.Kind.SUPERSEDED;
        }
        if (order.getDrained()) {
            drainedZones.add(zone);
        } else {
            drainedZones.remove(zone);
        }
        return CommandResult.Kind.ACCEPTED;
    }

    /** Returns how many numbered orders were accepted on a zone. */
    long lastOrder(String zone) {
        return orders.getOrDefault(zone, 0L);
    }

    ImmutableSortedSet<String> drainedZones() {
        return ImmutableSortedSet.copyOf(drainedZones);
    }

    /** Returns the numbers of all zones for a snapshot. */
    ImmutableList<ZoneOrder> orders() {
        return orders.entrySet().stream()
                .map(entry -> ZoneOrder.newBuilder()
                        .setZone(entry.getKey())
                        .setNumber(entry.getValue())
                        .build())
                .collect(ImmutableList.toImmutableList());
    }

    /** Replaces the whole state by that of a snapshot. */
    void restore(List<String> drained, List<ZoneOrder> lastOrders) {
        drainedZones.clear();
        drainedZones.addAll(drained);
        orders.clear();
        lastOrders.forEach(order -> orders.put(order.getZone(), order.getNumber()));
    }
}
