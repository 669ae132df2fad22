package org.bramblerack.process;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

/**
 * What this process knows of one upstream from its own calls, and whether it is leaving.
 *
 * <p>Own evidence outranks the upstream's health endpoint. After repeated failures the upstream is ejected for a time
 * that doubles; then one call probes it, and only a success ends the ejection. After an ejection the upstream counts as
 * cold and its share of the work grows with time. What was seen long ago fades toward the prior.
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
     * Creates the evidence of an upstream of which nothing is known.
     *
     * @param slots how many requests it works on at a time
     * @param prior the latency to expect before anything was seen
     * @param nowNanos the present time
     */
    public UpstreamEvidence(int slots, Duration prior, long nowNanos) {
        this.slots = slots;
        this.priorNanos = prior.toNanos();
        this.latencyNanos = priorNanos;
        this.lastEvidenceNanos = nowNanos;
        this.warmAtNanos = nowNanos;
    }

    /** Takes over how many requests the upstream is declared to work on at a time. */
    public synchronized void setSlots(int declared) {
        slots = declared;
    }

    /** Counts a call that is about to be sent. */
    public synchronized void started() {
        inFlight++;
        if (ejected) {
            probing = true;
        }
    }

    /** Counts a call that came to nothing by no fault of the upstream, such as a cancelled one. */
    public synchronized void abandoned(long waitedNanos, long nowNanos) {
        inFlight--;
        probing = false;
        if (waitedNanos > latencyNanos) {
            observe(waitedNanos, nowNanos);
        }
    }

    /** Counts a call that got a checked reply. */
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

    /** Counts a call that the upstream failed. */
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
     * Counts a call that the upstream refused because it was busy or leaving: a living upstream, whose latency is at
     * least as long as what was seen.
     */
    public synchronized void refused(long nowNanos) {
        inFlight--;
        probing = false;
        observe((long) Math.max(latencyNanos * 2, (double) priorNanos), nowNanos);
    }

    /** States that a source says, or no longer says, that the upstream is leaving. */
    public synchronized void setDraining(DrainSource source, boolean draining) {
        if (draining) {
            drains.add(source);
        } else {
            drains.remove(source);
        }
    }

    /** Returns true if some source says that the upstream is leaving. */
    public synchronized boolean isDraining() {
        return !drains.isEmpty();
    }

    /** Returns true while the upstream is ejected and no probe is due. */
    public synchronized boolean isEjected(long nowNanos) {
        return ejected && (probing || nowNanos - ejectedUntilNanos < 0);
    }

    /** Returns true if the calls of this process already fill the upstream's slots. */
    public synchronized boolean isBusy() {
        return inFlight >= slots;
    }

    /** Returns how many calls of this process are in flight. */
    public synchronized int inFlight() {
        return inFlight;
    }

    /** Returns the latency to expect of one more call, in nanoseconds. */
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
