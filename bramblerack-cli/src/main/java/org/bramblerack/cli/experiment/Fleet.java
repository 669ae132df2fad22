package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.bramblerack.process.FleetBudget;

/**
 * The hosts and leafs of an experiment.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param zones the availability zones
 * @param shards how many shards each query asks
 * @param replicaZones the zone of each replica of a shard
 * @param slots how many calls a leaf works on at a time
 * @param queue how many calls wait at a leaf before it refuses more
 * @param connections how many connections a leaf takes from all hosts
 * @param connect what a new connection takes of a slot
 * @param pause how long a leaf pauses now and then; zero for never
 * @param pauseEvery how often it does
 * @param sameZone the way between two places of a zone, one way
 * @param sameRegion the way between two zones of a region, one way
 * @param otherRegion the way between two regions, one way
 * @param toCaller the way between a caller and a host, one way
 * @param finalizeLead how long before the goal a host seals
 * @param budget what all hosts may spend on extra attempts
 * @param speedSkew how leafs differ
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

    /** Returns a zone by its name. */
    Zone zone(String name) {
        return zones.stream()
                .filter(zone -> zone.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no zone " + name));
    }

    /** Returns the way between two zones, one way, in nanoseconds. */
    long networkDelayNanos(String from, String to) {
        if (from.equals(to)) {
            return sameZone.toNanos();
        }
        return (zone(from).region().equals(zone(to).region()) ? sameRegion : otherRegion).toNanos();
    }

    /** Returns how many entry hosts there are. */
    int hostCount() {
        return zones.stream().mapToInt(Zone::hosts).sum();
    }
}
