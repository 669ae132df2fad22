package org.bramblerack.process;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

/**
 * The health and latency of one upstream as observed by calls of this process, and whether the upstream is leaving.
 *
 * <p>Observations of calls take precedence over the upstream's health endpoint. Repeated failures eject the upstream
 * for a time that doubles; then one call probes it, and only a success ends the ejection. After an ejection the
 * upstream counts as cold, and its share of the work grows over time. Old observations decay toward the prior.
 *
 * <p>Safe for use by many threads. Its lock comes after the query's; nothing is called under it.
 */
public final class UpstreamEvidence {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MAX_EJECTION_NANOS = Duration.ofSeconds(8).toNanos();
    private static final long SLOW_START_NANOS = Duration.ofSeconds(3).toNanos();
    private static final double SLOW_START_PENALTY = 4.0;
    private static final long DECAY_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double SMOOTHING = 0.2;

    private int slots;
    private final long priorNanos;
    private final Set<DrainSource> drains = EnumSet.noneOf(DrainSource.class);
    private double latencyNanos;
    private long lastEvidenceNanos;
    private int inFlight;
    private int consecutiveFailures;
    private long ejectionNanos;
    private long ejectedUntilNanos;
    private boolean ejected;
    private boolean probing;
    private long warmAtNanos;

    /**
     * Creates the evidence of an upstream without observations.
     *
     * @param slots how many requests the upstream processes concurrently
     * @param prior the latency to expect without observations
     * @param nowNanos the current time
     */
    public UpstreamEvidence(int slots, Duration prior, long nowNanos) {
        this.slots = slots;
        this.priorNanos = prior.toNanos();
        this.latencyNanos = priorNanos;
        this.lastEvidenceNanos = nowNanos;
        this.warmAtNanos = nowNanos;
    }

    /** Updates the declared number of requests that the upstream processes concurrently. */
    public synchronized void setSlots(int declared) {
        slots = declared;
    }

    /** Records that a call is about to be sent. */
    public synchronized void started() {
        inFlight++;
        if (ejected) {
            probing = true;
        }
    }

    /** Records the end of a call that failed for no fault of the upstream, such as a cancelled one. */
    public synchronized void abandoned(long waitedNanos, long nowNanos) {
        inFlight--;
        probing = false;
        if (waitedNanos > latencyNanos) {
            observe(waitedNanos, nowNanos);
        }
    }

    /** Records a call with a valid reply. */
    public synchronized void succeeded(long tookNanos, long nowNanos) {
        inFlight--;
        consecutiveFailures = 0;
        if (ejected) {
            warmAtNanos = nowNanos + SLOW_START_NANOS;
        }
        ejected = false;
        probing = false;
        ejectionNanos = 0;
        observe(tookNanos, nowNanos);
    }

    /** Records a call that failed at the upstream. */
    public synchronized void failed(long nowNanos) {
        inFlight--;
        probing = false;
        consecutiveFailures++;
        lastEvidenceNanos = nowNanos;
        if (consecutiveFailures >= FAILURES_TO_EJECT) {
            ejectionNanos = ejectionNanos == 0 ? FIRST_EJECTION_NANOS : Math.min(MAX_EJECTION_NANOS, 2 * ejectionNanos);
            ejectedUntilNanos = nowNanos + ejectionNanos;
            ejected = true;
        }
    }

    /**
     * Records a call that the upstream refused because it was busy or leaving. This is no failure, but raises the
     * expected latency.
     */
    public synchronized void refused(long nowNanos) {
        inFlight--;
        probing = false;
        observe((long) Math.max(latencyNanos * 2, (double) priorNanos), nowNanos);
    }

    /** Sets whether a source reports the upstream as leaving. */
    public synchronized void setDraining(DrainSource source, boolean draining) {
        if (draining) {
            drains.add(source);
        } else {
            drains.remove(source);
        }
    }

    /** Returns true if any source reports the upstream as leaving. */
    public synchronized boolean isDraining() {
        return !drains.isEmpty();
    }

    /** Returns true while the upstream is ejected and either no probe is due or one is in flight. */
    public synchronized boolean isEjected(long nowNanos) {
        return ejected && (probing || nowNanos - ejectedUntilNanos < 0);
    }

    /** Returns true if the calls of this process already fill the upstream's slots. */
    public synchronized boolean isBusy() {
        return inFlight >= slots;
    }

    public synchronized int inFlight() {
        return inFlight;
    }

    /** Returns the expected latency of one more call, in nanoseconds. */
    public synchronized double expectedNanos(long nowNanos) {
        long ageNanos = Math.max(0, nowNanos - lastEvidenceNanos);
        double weight = (double) DECAY_NANOS / (DECAY_NANOS + ageNanos);
        double base = latencyNanos * weight + priorNanos * (1 - weight);
        double queue = 1.0 + (double) inFlight / slots;
        double cold = 1.0;
        long untilWarmNanos = warmAtNanos - nowNanos;
        if (untilWarmNanos > 0) {
            cold += SLOW_START_PENALTY * untilWarmNanos / SLOW_START_NANOS;
        }
        return base * queue * cold;
    }

    private void observe(long sampleNanos, long nowNanos) {
        latencyNanos += SMOOTHING * (sampleNanos - latencyNanos);
        lastEvidenceNanos = nowNanos;
    }
}
