package org.bramblerack.process;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.UpstreamName;

/**
 * The evidence about every upstream, and the choice of a replica based on it.
 *
 * <p>Chooses the replica with the least expected latency: usually one in the same availability zone, and one farther
 * away if that is saturated. Ejected replicas are skipped unless more than half of the service's upstreams are ejected:
 * then this host's own network is the more likely cause, and ejections are ignored. A leaving upstream is never chosen.
 *
 * <p>Safe for use by many threads.
 */
public final class UpstreamTable {
    private static final Duration NEAR_PRIOR = Duration.ofMillis(5);
    private static final Duration FAR_PRIOR = Duration.ofMillis(25);
    private static final double TIE_BREAK = 0.1;

    private final String ownZone;
    private final Map<UpstreamName, UpstreamEvidence> evidence = new ConcurrentHashMap<>();

    public UpstreamTable(String ownZone) {
        this.ownZone = ownZone;
    }

    /** Adds an upstream or updates its declared limits; existing observations are kept. */
    public void declare(Upstream upstream, UpstreamLimits limits, long nowNanos) {
        Duration prior = upstream.zone().equals(ownZone) ? NEAR_PRIOR : FAR_PRIOR;
        UpstreamEvidence known = evidence.computeIfAbsent(
                upstream.name(), unused -> new UpstreamEvidence(limits.slots(), prior, nowNanos));
        known.setSlots(limits.slots());
        known.setDraining(DrainSource.DECLARATION, upstream.leaving());
    }

    /** Removes every upstream that the predicate does not match. */
    public void retain(Predicate<UpstreamName> declared) {
        evidence.keySet().removeIf(declared.negate());
    }

    /** Returns the evidence about an upstream, if it is declared. */
    public Optional<UpstreamEvidence> find(UpstreamName upstream) {
        return Optional.ofNullable(evidence.get(upstream));
    }

    /**
     * Chooses a replica for a new call.
     *
     * @param replicas the replicas that serve the shard
     * @param allowed which replicas the caller permits
     * @return the choice, or empty if every replica is leaving, unknown or not allowed
     */
    public Optional<UpstreamName> choose(
            ImmutableList<UpstreamName> replicas,
            Predicate<UpstreamName> allowed,
            RandomGenerator random,
            long nowNanos) {
        Optional<UpstreamName> healthy = best(replicas, allowed, random, nowNanos, false);
        if (healthy.isPresent() || replicas.isEmpty()) {
            return healthy;
        }
        boolean suspectView = isMostlyEjected(replicas.get(0).service(), nowNanos);
        return suspectView ? best(replicas, allowed, random, nowNanos, true) : Optional.empty();
    }

    /** Returns true if more than half of a service's upstreams are ejected. */
    private boolean isMostlyEjected(ServiceName service, long nowNanos) {
        int total = 0;
        int ejected = 0;
        for (Map.Entry<UpstreamName, UpstreamEvidence> entry : evidence.entrySet()) {
            if (entry.getKey().service().equals(service)) {
                total++;
                ejected += entry.getValue().isEjected(nowNanos) ? 1 : 0;
            }
        }
        return 2 * ejected > total;
    }

    /**
     * Chooses a replica for a hedge: one that is neither ejected nor leaving, nor fully occupied by calls of this
     * process.
     */
    public Optional<UpstreamName> chooseIdle(
            ImmutableList<UpstreamName> replicas,
            Predicate<UpstreamName> allowed,
            RandomGenerator random,
            long nowNanos) {
        return best(
                replicas,
                name -> allowed.test(name)
                        && find(name).map(known -> !known.isBusy()).orElse(false),
                random,
                nowNanos,
                false);
    }

    private Optional<UpstreamName> best(
            ImmutableList<UpstreamName> replicas,
            Predicate<UpstreamName> allowed,
            RandomGenerator random,
            long nowNanos,
            boolean withEjected) {
        UpstreamName best = null;
        double bestNanos = Double.MAX_VALUE;
        for (UpstreamName candidate : replicas) {
            UpstreamEvidence known = evidence.get(candidate);
            if (known == null || known.isDraining() || !allowed.test(candidate)) {
                continue;
            }
            if (!withEjected && known.isEjected(nowNanos)) {
                continue;
            }
            double expectedNanos = known.expectedNanos(nowNanos) * (1 + TIE_BREAK * random.nextDouble());
            if (expectedNanos < bestNanos) {
                best = candidate;
                bestNanos = expectedNanos;
            }
        }
        return Optional.ofNullable(best);
    }
}
