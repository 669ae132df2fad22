package org.bramblerack.process.leaf;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One start of a leaf as this host sees it: where it is, whether it takes new work, and how calls to it went.
 *
 * <p>Own evidence outranks what the leaf says of itself. A leaf whose oldest call is long overdue counts as stalled
 * until something comes back from it. Repeated failures eject it for a time that doubles; an ejected leaf is used only
 * if there is no other. Not safe for use by several threads: the event loop of the entry role owns it.
 */
public final class Leaf {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = Duration.ofMillis(400).toNanos();
    private static final long MAX_EJECTION_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long BUSY_PENALTY_NANOS = Duration.ofMillis(60).toNanos();
    /** A stalled leaf is expected to take about this much longer: between half and the whole of an observed pause. */
    public static final long STALL_HANDICAP_NANOS = Duration.ofMillis(150).toNanos();
    /** What one certain failure costs a request, in time lost before the next attempt. */
    private static final long FAILURE_HANDICAP_NANOS = Duration.ofMillis(200).toNanos();
    /** How much slower a leaf is just after its start, as observed of cold leafs. */
    private static final double COLD_FACTOR = 1.6;

    /** How long a leaf counts as stalled after an overdue call to it was given up: part of an observed pause. */
    private static final long STALL_MEMORY_NANOS = Duration.ofMillis(80).toNanos();
    /** Overdue calls in a row that were given up with no answer between them, as a leaf that is dark leaves. */
    private static final int ABANDONED_TO_EJECT = 4;
    /** How fast old evidence of refusals fades: somewhat slower than a leaf gets calls to show it. */
    private static final Duration REFUSAL_HALF_LIFE = Duration.ofSeconds(5);
    /**
     * The part of what other hosts had under way that the next call is taken to meet. All hosts learn of the same free
     * leaf at about the same time, so that the whole of it would send them all to and fro together; compared by the
     * experiment tool with 0.3 to 1.
     */
    private static final double OTHER_HOSTS_WEIGHT = 0.5;

    /**
     * Calls that fill slots slow one another a little: an eighth of the work each, chosen to break ties, not measured.
     */
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
     * Creates a leaf of which nothing but its registration is known, for a host with a plain context.
     *
     * @param coldFor how much longer it is slow from its start
     */
    public Leaf(
            String id, String service, String address, Distance distance, int slots, Duration coldFor, long nowNanos) {
        this(id, service, address, LeafLocation.unnamed(distance), slots, coldFor, RoutingContext.plain(), nowNanos);
    }

    /**
     * Creates a leaf of which nothing but its registration is known.
     *
     * @param coldFor how much longer it is slow from its start
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

    /** Returns the identifier of this start of the leaf. */
    public String id() {
        return id;
    }

    /** Returns the service it belongs to. */
    public String service() {
        return service;
    }

    /** Returns the address it listens at. */
    public String address() {
        return address;
    }

    /** Returns where it is. */
    public LeafLocation location() {
        return location;
    }

    /** Returns how far it is from this host. */
    public Distance distance() {
        return location.distance();
    }

    /** Returns true while new work may be sent to it. */
    public boolean acceptsWork() {
        return acceptsWork && !zoneDrained;
    }

    /**
     * States that it is cold, as after a start or an absence.
     *
     * @param coldFor how much longer
     */
    public void markCold(Duration coldFor, long nowNanos) {
        warmUp.markCold(coldFor, nowNanos);
    }

    /**
     * States what it bears while it is cold.
     *
     * @param maxPerSecond how many requests in any second, from all hosts together
     * @param sendsHere whether this is the host that may send them
     */
    public void limitColdRequests(double maxPerSecond, boolean sendsHere, long nowNanos) {
        warmUp.limit(maxPerSecond, sendsHere, nowNanos);
    }

    /** Returns true if it is cold and this host may send it nothing now. */
    public boolean isBlockedWhileCold(long nowNanos) {
        return warmUp.isBlocked(nowNanos);
    }

    /** Notes a request that is to be sent; returns false if it is cold and must not be sent this one. */
    public boolean tryAdmit(long nowNanos) {
        return warmUp.tryAdmit(nowNanos);
    }

    /**
     * States whether operators have its availability zone get no work; unlike {@link #leave}, that may be taken back.
     */
    public void setZoneDrained(boolean drained) {
        zoneDrained = drained;
    }

    /** States that it is leaving or has left; it gets no new work from now on. */
    public void leave() {
        acceptsWork = false;
    }

    /** Returns how many calls of this host are under way. */
    public int inFlight() {
        return calls.size();
    }

    /**
     * Notes a call that is being sent.
     *
     * @param expectedNanos how long such a call usually takes
     */
    public Call begin(long expectedNanos, long nowNanos) {
        Call call = new Call(nowNanos, expectedNanos);
        calls.add(call);
        return call;
    }

    /** Returns true if a call has begun and not ended. */
    public boolean isUnderWay(Call call) {
        return calls.contains(call);
    }

    /** Notes the end of a call, with the load that the leaf told, if it did. */
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
                // NO_CONNECTION says something about this host's share of connections, BARRED about the request.
            }
        }
    }

    /** Returns how many times as long as usual work takes there, as far as the leaf has told of late. */
    private double reportedWorkFactor(long nowNanos) {
        return context.uses(RoutingFeature.TOLD_WORK) ? reportedLoad.workFactor(nowNanos) : 1;
    }

    /**
     * Notes that this host gave a call up. That says nothing bad of the leaf by itself, but a call that was long
     * overdue does, and several in a row with no answer between them count as a failure.
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

    /** Returns true while repeated failures keep it from getting work. */
    public boolean isEjected(long nowNanos) {
        return context.uses(RoutingFeature.EJECTION)
                && consecutiveFailures >= FAILURES_TO_EJECT
                && nowNanos - ejectedUntilNanos < 0;
    }

    /** Returns true if a call is long overdue, so that the leaf probably pauses. */
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

    /** Returns true if one more call would wait behind as many as it works on at a time, or it just refused one. */
    public boolean isOverloaded(long nowNanos) {
        return Math.max(calls.size(), reportedLoad.calls(nowNanos)) >= 2 * slots || nowNanos - busyUntilNanos < 0;
    }

    /** Returns true if one more call would begin at once, as far as this host knows. */
    public boolean hasCapacity(long nowNanos) {
        return acceptsWork && !isEjected(nowNanos) && !isStalled(nowNanos) && occupancy(nowNanos) + 1 <= slots;
    }

    /**
     * Returns the time to expect of one more call, in nanoseconds, with handicaps for the way, stalls and failures.
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
     * Returns the time to expect of one more call that has the leaf to itself.
     *
     * @param expectedNanos how long such a call usually takes
     */
    public long workNanos(long expectedNanos, long nowNanos) {
        double work = context.uses(RoutingFeature.SLOWNESS) ? expectedNanos * slowness.at(nowNanos) : expectedNanos;
        work *= reportedWorkFactor(nowNanos);
        return (long) (warmUp.isCold(nowNanos) ? work * COLD_FACTOR : work);
    }

    /** Returns the share of calls that it is expected to refuse; what was seen long ago fades. */
    public double refusalRate(long nowNanos) {
        return refusalRate.at(nowNanos);
    }

    /** Returns how many calls the next one is expected to meet at the leaf: those of this host and of others. */
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
        // What the leaf says of the moment is no property of the leaf.
        observe(slownessOf(call, nowNanos) / reportedWorkFactor(nowNanos), nowNanos);
    }

    /** Returns how many times as long as usual a call has taken, without the time for which this host was behind. */
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

    /** A call under way; compared by identity. */
    public static final class Call {
        private final long sentNanos;
        private final long expectedNanos;

        private Call(long sentNanos, long expectedNanos) {
            this.sentNanos = sentNanos;
            this.expectedNanos = expectedNanos;
        }

        /** Returns when it was sent. */
        public long sentNanos() {
            return sentNanos;
        }
    }
}
