package org.bramblerack.process.leaf;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One incarnation of a leaf as observed by this host: its location, whether it accepts new work, and how calls to it
 * went.
 *
 * <p>Observations of own calls take precedence over what the leaf reports. A leaf whose oldest call is long overdue
 * counts as stalled until a reply arrives. Repeated failures eject it for a time that doubles; an ejected leaf is used
 * only if there is no other. Not safe for use by several threads: the event loop of the entry role owns it.
 */
public final class Leaf {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = Duration.ofMillis(400).toNanos();
    private static final long MAX_EJECTION_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long BUSY_PENALTY_NANOS = Duration.ofMillis(60).toNanos();
    /** How much longer a call to a stalled leaf is expected to take. */
    public static final long STALL_HANDICAP_NANOS = Duration.ofMillis(150).toNanos();
    /** The cost of a call that fails, as time lost before the next attempt. */
    private static final long FAILURE_HANDICAP_NANOS = Duration.ofMillis(200).toNanos();
    /** The slowness of a cold leaf, as a multiple of its usual time. */
    private static final double COLD_FACTOR = 1.6;

    /** How long a leaf counts as stalled after an overdue call to it was abandoned. */
    private static final long STALL_MEMORY_NANOS = Duration.ofMillis(80).toNanos();
    /** How many overdue calls in a row, abandoned without a success in between, eject a leaf. */
    private static final int ABANDONED_TO_EJECT = 4;

    private static final Duration REFUSAL_HALF_LIFE = Duration.ofSeconds(5);
    /**
     * The weight of calls in flight from other hosts. It is below 1 because all hosts learn of a free leaf at about the
     * same time and would otherwise move to it, and away from it, together.
     */
    private static final double OTHER_HOSTS_WEIGHT = 0.5;

    /** Breaks ties in favor of the leaf with more free slots: a full leaf costs an eighth more. */
    private static final double FREE_SLOT_DIVISOR = 8.0;

    private static final double MIN_SLOWNESS = 0.3;
    private static final double MAX_SLOWNESS = 10.0;
    private static final double STALL_FACTOR = 3.0;
    private static final double FAILURE_SMOOTHING = 0.15;
    private static final double REFUSAL_SMOOTHING = 0.15;

    private final String id;
    private final String service;
    private final String address;
    private final LeafLocation location;
    private final LeafWarmUp warmUp;
    private final RoutingContext context;
    private final List<Call> calls = new ArrayList<>(4);
    private int slots;
    private boolean acceptsWork = true;
    private boolean zoneDrained;
    private long busyUntilNanos;
    private final LeafSlowness slowness;
    private final DecayingAverage refusalRate;
    private final ReportedLoad reportedLoad;
    private long stalledUntilNanos;
    private int consecutiveAbandoned;
    private double failureRate;
    private int consecutiveFailures;
    private long ejectionNanos;
    private long ejectedUntilNanos;

    /**
     * Creates a leaf without observations, with the default context.
     *
     * @param coldFor how much longer it is cold
     */
    public Leaf(
            String id, String service, String address, Distance distance, int slots, Duration coldFor, long nowNanos) {
        this(id, service, address, LeafLocation.unnamed(distance), slots, coldFor, RoutingContext.plain(), nowNanos);
    }

    /**
     * Creates a leaf without observations.
     *
     * @param coldFor how much longer it is cold
     * @param context what the routing decisions of this host share
     */
    public Leaf(
            String id,
            String service,
            String address,
            LeafLocation place,
            int slots,
            Duration coldFor,
            RoutingContext context,
            long nowNanos) {
        this.id = id;
        this.service = service;
        this.address = address;
        this.location = requireNonNull(place);
        this.slots = Math.max(1, slots);
        this.warmUp = new LeafWarmUp(nowNanos + coldFor.toNanos());
        this.context = context;
        this.busyUntilNanos = nowNanos;
        this.ejectedUntilNanos = nowNanos;
        this.stalledUntilNanos = nowNanos;
        this.slowness = new LeafSlowness(nowNanos);
        this.refusalRate = new DecayingAverage(0, REFUSAL_SMOOTHING, REFUSAL_HALF_LIFE, nowNanos);
        this.reportedLoad = new ReportedLoad(nowNanos);
    }

    /** Returns the identifier of this incarnation. */
    public String id() {
        return id;
    }

    public String service() {
        return service;
    }

    public String address() {
        return address;
    }

    public LeafLocation location() {
        return location;
    }

    /** Returns the distance from this host. */
    public Distance distance() {
        return location.distance();
    }

    /** Returns true if new work may be sent to it. */
    public boolean acceptsWork() {
        return acceptsWork && !zoneDrained;
    }

    /**
     * Marks it as cold, as after a start or an absence.
     *
     * @param coldFor how much longer it is cold
     */
    public void markCold(Duration coldFor, long nowNanos) {
        warmUp.markCold(coldFor, nowNanos);
    }

    /**
     * Limits the requests to it while it is cold.
     *
     * @param maxPerSecond how many requests in any second, from all hosts together
     * @param sendsHere whether this host is the one that may send them
     */
    public void limitColdRequests(double maxPerSecond, boolean sendsHere, long nowNanos) {
        warmUp.limit(maxPerSecond, sendsHere, nowNanos);
    }

    /** Returns true if it is cold and this host may not send it a request now. */
    public boolean isBlockedWhileCold(long nowNanos) {
        return warmUp.isBlocked(nowNanos);
    }

    /**
     * Records a request that is about to be sent; returns false if the leaf is cold and the request must not be sent.
     */
    public boolean tryAdmit(long nowNanos) {
        return warmUp.tryAdmit(nowNanos);
    }

    /** Sets whether operators have drained its availability zone. Unlike {@link #leave}, this is reversible. */
    public void setZoneDrained(boolean drained) {
        zoneDrained = drained;
    }

    /** Marks it as leaving or gone: it gets no new work. */
    public void leave() {
        acceptsWork = false;
    }

    /** Returns the number of calls of this host in flight. */
    public int inFlight() {
        return calls.size();
    }

    /**
     * Records a call that is being sent.
     *
     * @param expectedNanos how long such a call usually takes
     */
    public Call begin(long expectedNanos, long nowNanos) {
        Call call = new Call(nowNanos, expectedNanos);
        calls.add(call);
        return call;
    }

    /** Returns true if the call is in flight. */
    public boolean isUnderWay(Call call) {
        return calls.contains(call);
    }

    /** Records the end of a call, with the load that the leaf reported, if it did. */
    public void end(Call call, LeafOutcome outcome, Optional<LeafLoad> load, long nowNanos) {
        calls.remove(call);
        if (load.isPresent()) {
            reportedLoad.record(load.get(), calls.size(), nowNanos);
            slots = Math.max(1, load.get().slots());
        }
        switch (outcome) {
            case SUCCEEDED -> {
                refusalRate.observe(0, nowNanos);
                succeeded(call, nowNanos);
            }
            case REFUSED_BUSY -> {
                refusalRate.observe(1, nowNanos);
                busyUntilNanos = nowNanos + BUSY_PENALTY_NANOS;
            }
            case REFUSED_GONE -> acceptsWork = false;
            case UNREACHABLE -> failed(FAILURES_TO_EJECT, nowNanos);
            case FAILED, BROKEN, GARBLED -> failed(1, nowNanos);
            default -> {
                // NO_CONNECTION results from the connection limit of this host and BARRED from the request: neither
                // concerns the leaf. REJECTED is evidence only together with the answers of other leaves.
            }
        }
    }

    /** Records that an answer, whose call has ended, turned out to be a failure of the leaf. */
    public void recordFailure(long nowNanos) {
        failed(1, nowNanos);
    }

    /** Returns the factor by which work at the leaf currently takes longer than usual, according to the leaf itself. */
    private double reportedWorkFactor(long nowNanos) {
        return context.uses(RoutingFeature.TOLD_WORK) ? reportedLoad.workFactor(nowNanos) : 1;
    }

    /**
     * Records that this host abandoned a call. This counts against the leaf only if the call was long overdue; several
     * of these in a row, without a success in between, eject the leaf.
     */
    public void abandon(Call call, long nowNanos) {
        if (!calls.remove(call)) {
            return;
        }
        double ratio = slownessOf(call, nowNanos);
        if (ratio < STALL_FACTOR) {
            return;
        }
        stalledUntilNanos = nowNanos + STALL_MEMORY_NANOS;
        if (ratio > slowness.at(nowNanos)) {
            observe(ratio, nowNanos);
        }
        consecutiveAbandoned++;
        if (consecutiveAbandoned >= ABANDONED_TO_EJECT) {
            consecutiveAbandoned = 0;
            failed(FAILURES_TO_EJECT, nowNanos);
        }
    }

    /** Returns true while it is ejected after repeated failures. */
    public boolean isEjected(long nowNanos) {
        return context.uses(RoutingFeature.EJECTION)
                && consecutiveFailures >= FAILURES_TO_EJECT
                && nowNanos - ejectedUntilNanos < 0;
    }

    /** Returns true if a call is long overdue, which suggests that the leaf is paused. */
    public boolean isStalled(long nowNanos) {
        if (!context.uses(RoutingFeature.STALLS)) {
            return false;
        }
        if (nowNanos - stalledUntilNanos < 0) {
            return true;
        }
        long arrivalNanos = nowNanos - context.lagNanos(nowNanos);
        for (Call call : calls) {
            if (arrivalNanos - call.sentNanos
                    > STALL_FACTOR * call.expectedNanos
                            + 2 * location.distance().handicapNanos()) {
                return true;
            }
        }
        return false;
    }

    /** Returns true if as many calls as it has slots are already waiting there, or if it recently refused a call. */
    public boolean isOverloaded(long nowNanos) {
        return Math.max(calls.size(), reportedLoad.calls(nowNanos)) >= 2 * slots || nowNanos - busyUntilNanos < 0;
    }

    /** Returns true if a further call would start at once, as far as this host knows. */
    public boolean hasCapacity(long nowNanos) {
        return acceptsWork() && !isEjected(nowNanos) && !isStalled(nowNanos) && occupancy(nowNanos) + 1 <= slots;
    }

    /**
     * Returns the expected time of one more call in nanoseconds, including penalties for distance, stalls and failures.
     *
     * @param expectedNanos how long such a call usually takes
     */
    public double costNanos(long expectedNanos, long nowNanos) {
        double occupancy = occupancy(nowNanos);
        double queued = Math.max(0, occupancy + 1 - slots);
        double work = workNanos(expectedNanos, nowNanos);
        double cost = work * (1 + queued / slots) + location.distance().handicapNanos();
        cost += occupancy * work / (FREE_SLOT_DIVISOR * slots);
        cost += failureRate * FAILURE_HANDICAP_NANOS;
        if (nowNanos - busyUntilNanos < 0) {
            cost += work;
        }
        return isStalled(nowNanos) ? cost + STALL_HANDICAP_NANOS : cost;
    }

    /**
     * Returns the expected time in nanoseconds of one more call if no other call is in flight at the leaf.
     *
     * @param expectedNanos how long such a call usually takes
     */
    public long workNanos(long expectedNanos, long nowNanos) {
        double work = context.uses(RoutingFeature.SLOWNESS) ? expectedNanos * slowness.at(nowNanos) : expectedNanos;
        work *= reportedWorkFactor(nowNanos);
        return (long) (warmUp.isCold(nowNanos) ? work * COLD_FACTOR : work);
    }

    /** Returns the expected fraction of calls that it refuses; old observations decay. */
    public double refusalRate(long nowNanos) {
        return refusalRate.at(nowNanos);
    }

    /** Returns the expected number of calls in flight at the leaf, from this host and from others. */
    private double occupancy(long nowNanos) {
        double others = context.uses(RoutingFeature.LOAD_OF_OTHERS) ? reportedLoad.callsOfOthers(nowNanos) : 0;
        return calls.size() + OTHER_HOSTS_WEIGHT * others;
    }

    private void succeeded(Call call, long nowNanos) {
        consecutiveFailures = 0;
        consecutiveAbandoned = 0;
        ejectionNanos = 0;
        stalledUntilNanos = nowNanos;
        failureRate -= FAILURE_SMOOTHING * failureRate;
        // The reported factor is temporary, so it must not count as slowness of the leaf itself.
        observe(slownessOf(call, nowNanos) / reportedWorkFactor(nowNanos), nowNanos);
    }

    /** Returns the factor by which a call took longer than usual, without the event-loop lag of this host. */
    private double slownessOf(Call call, long nowNanos) {
        long tookNanos = Math.max(0, nowNanos - context.lagNanos(nowNanos) - call.sentNanos);
        return (double) tookNanos / Math.max(1, call.expectedNanos);
    }

    private void observe(double ratio, long nowNanos) {
        slowness.observe(Math.max(MIN_SLOWNESS, Math.min(ratio, MAX_SLOWNESS)), nowNanos);
    }

    private void failed(int weight, long nowNanos) {
        consecutiveFailures += weight;
        failureRate += FAILURE_SMOOTHING * (1 - failureRate);
        if (consecutiveFailures >= FAILURES_TO_EJECT) {
            ejectionNanos = ejectionNanos == 0 ? FIRST_EJECTION_NANOS : Math.min(MAX_EJECTION_NANOS, 2 * ejectionNanos);
            ejectedUntilNanos = nowNanos + ejectionNanos;
        }
    }

    /** A call in flight; compared by identity. */
    public static final class Call {
        private final long sentNanos;
        private final long expectedNanos;

        private Call(long sentNanos, long expectedNanos) {
            this.sentNanos = sentNanos;
            this.expectedNanos = expectedNanos;
        }

        public long sentNanos() {
            return sentNanos;
        }
    }
}
