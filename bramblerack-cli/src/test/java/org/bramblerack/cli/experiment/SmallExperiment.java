package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.process.leaf.RoutingPolicy;

/** A small experiment whose runs take well under a second. */
final class SmallExperiment {
    static final Load LOAD = new Load("query", 40, millis(20), 0.3, 0, 1, millis(200), millis(2_000), 0.75, 0.1, 2, 1);

    static final Fleet FLEET = with(SpeedSkew.NONE);

    private SmallExperiment() {}

    static Fleet with(SpeedSkew speedSkew) {
        return new Fleet(
                ImmutableList.of(new Fleet.Zone("west", "west", 2), new Fleet.Zone("east", "east", 2)),
                6,
                ImmutableList.of("west", "east"),
                2,
                12,
                26,
                millis(6),
                millis(250),
                millis(6_000),
                millis(0.1),
                millis(0.5),
                millis(8),
                millis(1),
                millis(10),
                new FleetBudget(20, 50, millis(10_000)),
                speedSkew);
    }

    static Experiment with(InjectedFault... faults) {
        return new Experiment(
                FLEET,
                ImmutableList.of(LOAD),
                ImmutableList.copyOf(faults),
                ImmutableList.of(
                        new Experiment.Policy("all", RoutingPolicy.DEFAULT),
                        new Experiment.Policy("without", RoutingPolicy.without(RoutingFeature.REFUSAL_PRICE))),
                Duration.ofSeconds(8),
                4);
    }

    static Duration millis(double count) {
        return Duration.ofNanos((long) (count * 1e6));
    }
}
