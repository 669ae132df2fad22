package org.bramblerack.cli.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.LeafLoad;

/**
 * A leaf: a few slots with one queue before them, which pauses, turns slow, refuses calls or goes dark.
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
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>(2);
    private final double speed;
    private double spellFactor = 1;
    private double slowFactor = 1;
    private double refusedShare;
    private boolean dark;
    private boolean paused;
    private long pauseEndsNanos;
    private int connections;
    private int mostConnections;

    /**
     * Creates a leaf in no spell, in a phase of its pauses that is drawn.
     *
     * @param speed how many times as long as usual work takes
     */
    ModelLeaf(
            String id, int shard, String zone, double speed, Fleet fleet, SimulatedTime time, RandomGenerator random) {
        this.id = id;
        this.shard = shard;
        this.zone = zone;
        this.speed = speed;
        this.fleet = fleet;
        this.time = time;
        this.random = random;
        if (!fleet.pause().isZero()) {
            time.after(random.nextLong(fleet.pauseEvery().toNanos()), this::pause);
        }
        if (!fleet.unevenness().spellEvery().isZero()) {
            // Drawn apart from refusals, so that every policy meets the same spells.
            RandomGenerator spells = new SplittableRandom(random.nextLong());
            time.after(spells.nextLong(fleet.unevenness().spellEvery().toNanos()), () -> drawSpell(spells));
        }
    }

    /** What becomes of a call that has reached the leaf. */
    interface Taker {
        /** Takes the end of its work. */
        void done(LeafLoad load);

        /** Takes a refusal; the call has not run. */
        void refused(LeafLoad load);
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

    boolean isDark() {
        return dark;
    }

    int mostConnections() {
        return mostConnections;
    }

    void connected() {
        connections++;
        mostConnections = Math.max(mostConnections, connections);
    }

    void disconnected() {
        connections--;
    }

    void begin(Trouble trouble) {
        apply(trouble, true);
    }

    void end(Trouble trouble) {
        apply(trouble, false);
    }

    private void apply(Trouble trouble, boolean begins) {
        if (trouble.kind() == Trouble.Kind.SLOW) {
            slowFactor = begins ? trouble.strength() : 1;
        } else if (trouble.kind() == Trouble.Kind.REFUSING) {
            refusedShare = begins ? trouble.strength() : 0;
        } else {
            dark = begins;
        }
    }

    /** Takes a call that needs some work. A dark leaf never answers. */
    Job call(long workNanos, Taker taker) {
        Job job = new Job((long) (workNanos * speed * spellFactor * slowFactor), taker);
        if (dark) {
            return job;
        }
        if (refusedShare > 0 && random.nextDouble() < refusedShare) {
            taker.refused(load());
        } else {
            enqueue(job);
        }
        return job;
    }

    /** Returns how long a call that arrives now would take if the leaf did nothing else, by its true state. */
    long knownNanos(long workNanos) {
        long pauseNanos = paused ? pauseEndsNanos - time.nowNanos() : 0;
        return pauseNanos + (long) (workNanos * speed * spellFactor * slowFactor);
    }

    /** Takes a new connection, which holds a slot for a moment. */
    Job connect(Runnable opened) {
        Job job = new Job(fleet.connect().toNanos(), new Taker() {
            @Override
            public void done(LeafLoad load) {
                opened.run();
            }

            @Override
            public void refused(LeafLoad load) {
                opened.run();
            }
        });
        if (!dark) {
            enqueue(job);
        }
        return job;
    }

    /** Drops a job whose connection was closed. */
    void drop(Job job) {
        job.generation++;
        waiting.remove(job);
        if (running.remove(job)) {
            startNext();
        }
    }

    private void enqueue(Job job) {
        if (running.size() < fleet.slots() && !paused) {
            start(job);
        } else if (waiting.size() >= fleet.queue()) {
            job.taker.refused(load());
        } else {
            waiting.add(job);
        }
    }

    private void start(Job job) {
        running.add(job);
        proceed(job);
    }

    private void proceed(Job job) {
        job.startedNanos = time.nowNanos();
        int generation = ++job.generation;
        time.after(job.remainingNanos, () -> {
            if (job.generation == generation && running.remove(job)) {
                startNext();
                job.taker.done(load());
            }
        });
    }

    private void startNext() {
        if (!paused && running.size() < fleet.slots() && !waiting.isEmpty()) {
            start(waiting.removeFirst());
        }
    }

    private void drawSpell(RandomGenerator spells) {
        Unevenness unevenness = fleet.unevenness();
        spellFactor = spells.nextDouble() < unevenness.spellShare() ? unevenness.spellFactor() : 1;
        time.after(unevenness.spellEvery().toNanos(), () -> drawSpell(spells));
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
        running.forEach(this::proceed);
        while (running.size() < fleet.slots() && !waiting.isEmpty()) {
            startNext();
        }
        time.after(fleet.pauseEvery().minus(fleet.pause()).toNanos(), this::pause);
    }

    /** Returns what it tells of its load. */
    LeafLoad load() {
        double times = fleet.unevenness().told() ? speed * spellFactor * slowFactor : 1;
        return new LeafLoad(
                running.size(), waiting.size(), fleet.slots(), (int) Math.round(LeafLoad.USUAL_PERCENT * times));
    }

    /** One call or new connection at the leaf. */
    static final class Job {
        private final Taker taker;
        private long remainingNanos;
        private long startedNanos;
        private int generation;

        private Job(long workNanos, Taker taker) {
            this.remainingNanos = workNanos;
            this.taker = taker;
        }
    }
}
