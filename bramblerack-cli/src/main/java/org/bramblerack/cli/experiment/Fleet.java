package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.bramblerack.process.FleetBudget;

/**
 * The modelled hosts and leaves of an experiment.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param zones the availability zones
 * @param shards how many shards there are; each query goes to all of them
 * @param replicaZones the zone of each replica of a shard
 * @param slots how many calls a leaf runs at a time
 * @param queue how many calls a leaf queues before it refuses more
 * @param connections how many connections a leaf accepts from all hosts together
 * @param connect how long a new connection occupies a slot
 * @param pause how long a leaf pauses, as for garbage collection; zero for no pauses
 * @param pauseEvery the time from one pause to the next
 * @param sameZone the one-way network delay within a zone
 * @param sameRegion the one-way network delay between two zones of a region
 * @param otherRegion the one-way network delay between two regions
 * @param toCaller the one-way network delay between a caller and a host
 * @param finalizeLead how long before the goal a host finalizes its answer
 * @param budget the budget of extra attempts that all hosts share
 * @param speedSkew how the speeds of leaves differ
 */
record Fleet(
        ImmutableList<Zone> zones,
        int shards,
        ImmutableList<String> replicaZones,
        int slots,
        int queue,
        int connections,
        Duration connect,
        Duration pause,
        Duration pauseEvery,
        Duration sameZone,
        Duration sameRegion,
        Duration otherRegion,
        Duration toCaller,
        Duration finalizeLead,
        FleetBudget budget,
        SpeedSkew speedSkew) {
    /**
     * An availability zone.
     *
     * @param hosts how many entry hosts it has
     */
    record Zone(String name, String region, int hosts) {}

    /** Returns the zone with a name; throws IllegalArgumentException if there is none. */
    Zone zone(String name) {
        return zones.stream()
                .filter(zone -> zone.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no zone named " + name));
    }

    /** Returns the one-way network delay between two zones. */
    long networkDelayNanos(String from, String to) {
        if (from.equals(to)) {
            return sameZone.toNanos();
        }
        return (zone(from).region().equals(zone(to).region()) ? sameRegion : otherRegion).toNanos();
    }

    /** Returns the number of entry hosts in all zones. */
    int hostCount() {
        return zones.stream().mapToInt(Zone::hosts).sum();
    }
}
