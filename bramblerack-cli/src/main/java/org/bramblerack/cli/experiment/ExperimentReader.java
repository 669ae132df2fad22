package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.document.DocumentReader;
import org.bramblerack.process.document.Fields;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.process.leaf.RoutingPolicy;

/** Reads the file of an experiment, or tells everything that is wrong with it. Stateless. */
final class ExperimentReader {
    private static final int MOST_ZONES = 64;
    private static final int MOST_HOSTS = 2_000;
    private static final int MOST_SHARDS = 2_000;
    private static final int MOST_REPLICAS = 16;
    private static final int MOST_LOADS = 16;
    private static final int MOST_TROUBLES = 64;
    private static final int MOST_POLICIES = 32;
    private static final int MOST_SEEDS = 10_000;
    private static final int MOST_COUNT = 100_000;
    private static final double MOST_MILLIS = 3_600_000;
    private static final double MOST_TIMES = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private ExperimentReader() {}

    static Either<ImmutableList<ValidationError>, Experiment> read(String text) {
        return DocumentReader.read(text, ExperimentReader::experiment);
    }

    private static Experiment experiment(Fields fields) {
        Fleet fleet = fields.object("fleet", ExperimentReader::fleet).orElseGet(ExperimentReader::noFleet);
        ImmutableList<Load> loads = fields.objects("loads", MOST_LOADS, ExperimentReader::load);
        if (loads.isEmpty()) {
            fields.addError("loads", "there is no load", "give one kind of query at least");
        }
        ImmutableList<Trouble> troubles = fields.objects("troubles", MOST_TROUBLES, ExperimentReader::trouble);
        ImmutableList<Experiment.Policy> policies = fields.objects("policies", MOST_POLICIES, ExperimentReader::policy);
        if (policies.isEmpty()) {
            fields.addError(
                    "policies", "there is no policy", "give one at least; the others are compared with the first");
        }
        return new Experiment(
                fleet, loads, troubles, policies, millis(fields, "lengthMs"), fields.integer("seeds", 1, MOST_SEEDS));
    }

    private static Fleet fleet(Fields fields) {
        ImmutableList<Fleet.Zone> zones = fields.objects(
                "zones",
                MOST_ZONES,
                zone -> new Fleet.Zone(zone.name("name"), zone.name("region"), zone.integer("hosts", 0, MOST_HOSTS)));
        ImmutableList<String> replicaZones = fields.texts("replicaZones", MOST_REPLICAS);
        checkZones(fields, zones, replicaZones);
        return new Fleet(
                zones,
                fields.integer("shards", 1, MOST_SHARDS),
                replicaZones,
                fields.integer("slots", 1, MOST_COUNT),
                fields.integer("queue", 0, MOST_COUNT),
                fields.integer("connections", 1, MOST_COUNT),
                millis(fields, "connectMs"),
                millis(fields, "pauseMs"),
                millis(fields, "pauseEveryMs"),
                millis(fields, "sameZoneMs"),
                millis(fields, "sameRegionMs"),
                millis(fields, "otherRegionMs"),
                millis(fields, "toCallerMs"),
                millis(fields, "sealLeadMs"),
                new FleetBudget(
                        fields.integer("extraPercent", 0, 1_000),
                        fields.integer("extraSlack", 0, MOST_COUNT),
                        millis(fields, "budgetWindowMs")),
                fields.optionalObject("unevenness", ExperimentReader::unevenness)
                        .orElse(Unevenness.NONE));
    }

    private static Unevenness unevenness(Fields fields) {
        ImmutableList<Double> speeds =
                fields.objects("speeds", MOST_REPLICAS, speed -> speed.decimal("times", 0.01, MOST_TIMES));
        return new Unevenness(
                speeds,
                fields.decimal("spellShare", 0, 1, 0),
                fields.decimal("spellTimes", 0.01, MOST_TIMES, 1),
                fields.has("spellEveryMs") ? millis(fields, "spellEveryMs") : Duration.ZERO,
                fields.flag("told", false));
    }

    private static void checkZones(Fields fields, ImmutableList<Fleet.Zone> zones, ImmutableList<String> replicaZones) {
        Set<String> names = new HashSet<>();
        zones.forEach(zone -> names.add(zone.name()));
        if (zones.stream().mapToInt(Fleet.Zone::hosts).sum() == 0) {
            fields.addError("zones", "there is no host", "give a zone one host at least");
        }
        if (replicaZones.isEmpty()) {
            fields.addError("replicaZones", "a shard has no replica", "name the zone of each replica of a shard");
        }
        for (String zone : replicaZones) {
            if (!names.contains(zone)) {
                fields.addError("replicaZones", "there is no zone \"" + zone + "\"", "name zones of the fleet");
            }
        }
    }

    private static Load load(Fields fields) {
        return new Load(
                fields.name("name"),
                fields.decimal("perSecond", 0.001, MOST_COUNT),
                millis(fields, "workMs"),
                fields.decimal("spread", 0, 10, 0.35),
                fields.decimal("tailShare", 0, 1, 0),
                fields.decimal("tailFactor", 1, 1_000, 1),
                millis(fields, "latencyGoalMs"),
                millis(fields, "deadlineMs"),
                fields.decimal("leastShare", 0, 1),
                fields.decimal("lateWorth", 0, 1, 0),
                fields.integer("attempts", 1, MOST_REPLICAS),
                fields.integer("retries", 0, MOST_REPLICAS, 0));
    }

    private static Trouble trouble(Fields fields) {
        return new Trouble(
                fields.choice("kind", Trouble.Kind.class),
                millis(fields, "atMs"),
                millis(fields, "lastsMs"),
                fields.decimal("share", 0, 1),
                fields.decimal("strength", 0, 1_000, 1));
    }

    private static Experiment.Policy policy(Fields fields) {
        return new Experiment.Policy(fields.text("name"), RoutingPolicy.read(fields));
    }

    private static Duration millis(Fields fields, String name) {
        return Duration.ofNanos((long) (fields.decimal(name, 0, MOST_MILLIS) * NANOS_PER_MILLI));
    }

    /** Stands in for a fleet that is missing, which is reported. */
    private static Fleet noFleet() {
        Duration none = Duration.ZERO;
        return new Fleet(
                ImmutableList.of(),
                1,
                ImmutableList.of(),
                1,
                1,
                1,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                new FleetBudget(0, 0, Duration.ofSeconds(1)),
                Unevenness.NONE);
    }
}
