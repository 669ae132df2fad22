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

/** Parses an experiment file and reports all of its validation errors. Stateless. */
final class ExperimentReader {
    private static final int MAX_ZONES = 64;
    private static final int MAX_HOSTS = 2_000;
    private static final int MAX_SHARDS = 2_000;
    private static final int MAX_REPLICAS = 16;
    private static final int MAX_LOADS = 16;
    private static final int MAX_FAULTS = 64;
    private static final int MAX_POLICIES = 32;
    private static final int MAX_SEEDS = 10_000;
    private static final int MAX_COUNT = 100_000;
    private static final double MAX_MILLIS = 3_600_000;
    private static final double MAX_FACTOR = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private ExperimentReader() {}

    static Either<ImmutableList<ValidationError>, Experiment> read(String text) {
        return DocumentReader.read(text, ExperimentReader::experiment);
    }

    private static Experiment experiment(Fields fields) {
        Fleet fleet = fields.object("fleet", ExperimentReader::fleet).orElseGet(ExperimentReader::placeholderFleet);
        ImmutableList<Load> loads = fields.objects("loads", MAX_LOADS, ExperimentReader::load);
        if (loads.isEmpty()) {
            fields.addError("loads", "there is no load", "give one kind of query at least");
        }
        ImmutableList<InjectedFault> faults = fields.objects("troubles", MAX_FAULTS, ExperimentReader::injectedFault);
        ImmutableList<Experiment.Policy> policies = fields.objects("policies", MAX_POLICIES, ExperimentReader::policy);
        if (policies.isEmpty()) {
            fields.addError(
                    "policies", "there is no policy", "give one at least; the others are compared with the first");
        }
        return new Experiment(
                fleet, loads, faults, policies, millis(fields, "lengthMs"), fields.integer("seeds", 1, MAX_SEEDS));
    }

    private static Fleet fleet(Fields fields) {
        ImmutableList<Fleet.Zone> zones = fields.objects(
                "zones",
                MAX_ZONES,
                zone -> new Fleet.Zone(zone.name("name"), zone.name("region"), zone.integer("hosts", 0, MAX_HOSTS)));
        ImmutableList<String> replicaZones = fields.texts("replicaZones", MAX_REPLICAS);
        checkZones(fields, zones, replicaZones);
        return new Fleet(
                zones,
                fields.integer("shards", 1, MAX_SHARDS),
                replicaZones,
                fields.integer("slots", 1, MAX_COUNT),
                fields.integer("queue", 0, MAX_COUNT),
                fields.integer("connections", 1, MAX_COUNT),
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
                        fields.integer("extraSlack", 0, MAX_COUNT),
                        millis(fields, "budgetWindowMs")),
                fields.optionalObject("unevenness", ExperimentReader::speedSkew).orElse(SpeedSkew.NONE));
    }

    private static SpeedSkew speedSkew(Fields fields) {
        ImmutableList<Double> workFactors =
                fields.objects("speeds", MAX_REPLICAS, speed -> speed.decimal("times", 0.01, MAX_FACTOR));
        return new SpeedSkew(
                workFactors,
                fields.decimal("spellShare", 0, 1, 0),
                fields.decimal("spellTimes", 0.01, MAX_FACTOR, 1),
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
                fields.decimal("perSecond", 0.001, MAX_COUNT),
                millis(fields, "workMs"),
                fields.decimal("spread", 0, 10, 0.35),
                fields.decimal("tailShare", 0, 1, 0),
                fields.decimal("tailFactor", 1, 1_000, 1),
                millis(fields, "latencyGoalMs"),
                millis(fields, "deadlineMs"),
                fields.decimal("leastShare", 0, 1),
                fields.decimal("lateWorth", 0, 1, 0),
                fields.integer("attempts", 1, MAX_REPLICAS),
                fields.integer("retries", 0, MAX_REPLICAS, 0));
    }

    private static InjectedFault injectedFault(Fields fields) {
        return new InjectedFault(
                fields.choice("kind", InjectedFault.Kind.class),
                millis(fields, "atMs"),
                millis(fields, "lastsMs"),
                fields.decimal("share", 0, 1),
                fields.decimal("strength", 0, 1_000, 1));
    }

    private static Experiment.Policy policy(Fields fields) {
        return new Experiment.Policy(fields.text("name"), RoutingPolicy.read(fields));
    }

    private static Duration millis(Fields fields, String name) {
        return Duration.ofNanos((long) (fields.decimal(name, 0, MAX_MILLIS) * NANOS_PER_MILLI));
    }

    /** Returns a fleet to continue validation with if the file has none; that error is reported already. */
    private static Fleet placeholderFleet() {
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
                SpeedSkew.NONE);
    }
}
