package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.SplittableRandom;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.ColdRequestLimit;
import org.bramblerack.process.leaf.RoutingPolicy;

/** Shared setup of the gateway tests. */
final class GatewayFixture {
    /** Header field names that match their meaning. */
    static final CallHeaders NAMES = new CallHeaders(
            "request-id",
            "deadline-ms",
            "leaf",
            "leaf-id",
            "signature",
            "load",
            "not-run",
            "retry",
            "parts",
            "missing",
            "team");

    private static final FleetBudget BUDGET = new FleetBudget(20, 50, Duration.ofSeconds(10));

    private GatewayFixture() {}

    /** Returns the view of a host in zone z that has no tables yet. */
    static FleetView view(EventLoopGroup group, MonotonicClock clock) {
        return new FleetView(
                "127.0.0.1:1",
                new HostLocation("z", "r", ImmutableMap.of("z", "r", "z2", "r")),
                BUDGET,
                ColdRequestLimit.NONE,
                RoutingPolicy.DEFAULT,
                NAMES,
                group,
                clock,
                new SplittableRandom(1));
    }
}
