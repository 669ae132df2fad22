package org.bramblerack.cli.experiment;

import java.util.PriorityQueue;
import org.bramblerack.process.MonotonicClock;

/**
 * The clock and event queue of one run. Events run in order of time; events at the same time run in the order in which
 * they were scheduled.
 *
 * <p>Invariant: time never decreases. Not safe for use by several threads; each run has its own.
 */
final class SimulatedTime implements MonotonicClock {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNanos;
    private long nextSequence;

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    /** Schedules a task at a time; a time in the past counts as now. */
    void at(long atNanos, Runnable task) {
        events.add(new Event(Math.max(nowNanos, atNanos), nextSequence++, task));
    }

    /** Schedules a task after a delay. */
    void after(long delayNanos, Runnable task) {
        at(nowNanos + delayNanos, task);
    }

    /** Runs all events up to and including a time, and sets the clock to it. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
            Event event = events.remove();
            nowNanos = event.atNanos;
            event.task.run();
        }
        nowNanos = endNanos;
    }

    private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
