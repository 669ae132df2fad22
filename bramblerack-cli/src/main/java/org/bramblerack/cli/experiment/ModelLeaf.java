package org.bramblerack.cli.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.LeafLoad;

/**
 * A modelled leaf with slots and one queue. It may pause, become slow, refuse calls or become unreachable.
 *
 * <p>Invariant: at most as many jobs run as it has slots. Not safe for use by several threads.
 */
final class ModelLeaf {
    private final String id;
    private final int shard;
    private final String zone;
    private final Fleet fleet;
    private final SimulatedTime time;
    private final RandomGenerator random;
    private final Deque<Job> queued = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>(2);
    private final double workFactor;
    private double slowPeriodFactor = 1;
    private double faultFactor = 1;
    private double refusedShare;
    private boolean unreachable;
    private boolean paused;
    private long pauseEndsNanos;
    private int connections;
    private int peakConnections;

    /**
     * Creates a leaf outside of a slow period whose first pause begins at a random time.
     *
     * @param workFactor how many times as long as usual a call takes
     */
    ModelLeaf(
            String id,
            int shard,
            String zone,
            double workFactor,
            Fleet fleet,
            SimulatedTime time,
            RandomGenerator random) {
        this.id = id;
        this.shard = shard;
        this.zone = zone;
        this.workFactor = workFactor;
        this.fleet = fleet;
        this.time = time;
        this.random = random;
        if (!fleet.pause().isZero()) {
            time.after(random.nextLong(fleet.pauseEvery().toNanos()), this::pause);
        }
        if (!fleet.speedSkew().slowPeriod().isZero()) {
            // Separate from the generator of refusals, so that slow periods are the same under every policy.
            RandomGenerator slowPeriodRandom = new SplittableRandom(random.nextLong());
            time.after(
                    slowPeriodRandom.nextLong(fleet.speedSkew().slowPeriod().toNanos()),
                    () -> chooseSlowPeriod(slowPeriodRandom));
        }
    }

    /** Receives the result of a job. */
    interface JobListener {
        /** Handles the completion of the job. */
        void onDone(LeafLoad load);

        /** Handles a refusal; the job did not run. */
        void onRefused(LeafLoad load);
    }

    String id() {
        return id;
    }

    int shard() {
        return shard;
    }

    String zone() {
        return zone;
    }

    boolean isUnreachable() {
        return unreachable;
    }

    int peakConnections() {
        return peakConnections;
    }

    void connected() {
        connections++;
        peakConnections = Math.max(peakConnections, connections);
    }

    void disconnected() {
        connections--;
    }

    void beginFault(InjectedFault fault) {
        applyFault(fault, true);
    }

    void endFault(InjectedFault fault) {
        applyFault(fault, false);
    }

    private void applyFault(InjectedFault fault, boolean begins) {
        if (fault.kind() == InjectedFault.Kind.SLOW) {
            faultFactor = begins ? fault.strength() : 1;
        } else if (fault.kind() == InjectedFault.Kind.REFUSING) {
            refusedShare = begins ? fault.strength() : 0;
        } else {
            unreachable = begins;
        }
    }

    /** Runs, queues or refuses a call. An unreachable leaf does none of these and never answers. */
    Job call(long workNanos, JobListener listener) {
        Job job = new Job((long) (workNanos * workFactor * slowPeriodFactor * faultFactor), listener);
        if (unreachable) {
            return job;
        }
        if (refusedShare > 0 && random.nextDouble() < refusedShare) {
            listener.onRefused(load());
        } else {
            enqueue(job);
        }
        return job;
    }

    /** Returns how long a call that arrives now would take on an idle leaf in the current state. */
    long idealDurationNanos(long workNanos) {
        long pauseNanos = paused ? pauseEndsNanos - time.nowNanos() : 0;
        return pauseNanos + (long) (workNanos * workFactor * slowPeriodFactor * faultFactor);
    }

    /** Accepts a new connection, which occupies a slot for {@link Fleet#connect}. */
    Job connect(Runnable opened) {
        Job job = new Job(fleet.connect().toNanos(), new JobListener() {
            @Override
            public void onDone(LeafLoad load) {
                opened.run();
            }

            @Override
            public void onRefused(LeafLoad load) {
                opened.run();
            }
        });
        if (!unreachable) {
            enqueue(job);
        }
        return job;
    }

    /** Cancels a queued or running job whose connection was closed. */
    void cancel(Job job) {
        job.generation++;
        queued.remove(job);
        if (running.remove(job)) {
            startNext();
        }
    }

    private void enqueue(Job job) {
        if (running.size() < fleet.slots() && !paused) {
            start(job);
        } else if (queued.size() >= fleet.queue()) {
            job.listener.onRefused(load());
        } else {
            queued.add(job);
        }
    }

    private void start(Job job) {
        running.add(job);
        runRemaining(job);
    }

    private void runRemaining(Job job) {
        job.startedNanos = time.nowNanos();
        int generation = ++job.generation;
        time.after(job.remainingNanos, () -> {
            if (job.generation == generation && running.remove(job)) {
                startNext();
                job.listener.onDone(load());
            }
        });
    }

    private void startNext() {
        if (!paused && running.size() < fleet.slots() && !queued.isEmpty()) {
            start(queued.removeFirst());
        }
    }

    private void chooseSlowPeriod(RandomGenerator slowPeriodRandom) {
        SpeedSkew skew = fleet.speedSkew();
        slowPeriodFactor = slowPeriodRandom.nextDouble() < skew.slowShare() ? skew.slowFactor() : 1;
        time.after(skew.slowPeriod().toNanos(), () -> chooseSlowPeriod(slowPeriodRandom));
    }

    private void pause() {
        paused = true;
        pauseEndsNanos = time.nowNanos() + fleet.pause().toNanos();
        for (Job job : running) {
            job.generation++;
            job.remainingNanos -= time.nowNanos() - job.startedNanos;
        }
        time.after(fleet.pause().toNanos(), this::resume);
    }

    private void resume() {
        paused = false;
        running.forEach(this::runRemaining);
        while (running.size() < fleet.slots() && !queued.isEmpty()) {
            startNext();
        }
        time.after(fleet.pauseEvery().minus(fleet.pause()).toNanos(), this::pause);
    }

    /** Returns the load that the leaf reports with its answers. */
    LeafLoad load() {
        double factor = fleet.speedSkew().reported() ? workFactor * slowPeriodFactor * faultFactor : 1;
        return new LeafLoad(
                running.size(), queued.size(), fleet.slots(), (int) Math.round(LeafLoad.USUAL_PERCENT * factor));
    }

    /** A call or a new connection that occupies a slot. */
    static final class Job {
        private final JobListener listener;
        private long remainingNanos;
        private long startedNanos;
        private int generation;

        private Job(long workNanos, JobListener listener) {
            this.remainingNanos = workNanos;
            this.listener = listener;
        }
    }
}
