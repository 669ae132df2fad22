package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.List;

/**
 * How much was spent within the last window, by age.
 *
 * <p>Not safe for use by several threads.
 */
final class SpentWindow {
    /** What is spent within a twentieth of the window is counted together. */
    static final int SLOTS = 20;

    private final long slotNanos;
    private final int[] spent = new int[SLOTS];
    private long slot;

    SpentWindow(long windowNanos, long nowNanos) {
        this.slotNanos = windowNanos / SLOTS;
        this.slot = Math.floorDiv(nowNanos, slotNanos);
    }

    /** Returns the time that is counted together. */
    long slotNanos() {
        return slotNanos;
    }

    /** Adds what is spent now; negative if it is given back. */
    void add(int count, long nowNanos) {
        advance(nowNanos);
        spent[index(0)] += count;
    }

    /** Adds what was spent by age, the latest first. */
    void addByAge(List<Integer> byAge, long nowNanos) {
        advance(nowNanos);
        for (int age = 0; age < Math.min(SLOTS, byAge.size()); age++) {
            spent[index(age)] += byAge.get(age);
        }
    }

    /** Moves all that another window holds to this one. */
    void moveFrom(SpentWindow other, long nowNanos) {
        addByAge(other.byAge(nowNanos), nowNanos);
        other.clear();
    }

    /** Returns what was spent by age, the latest first. */
    ImmutableList<Integer> byAge(long nowNanos) {
        advance(nowNanos);
        ImmutableList.Builder<Integer> ages = ImmutableList.builderWithExpectedSize(SLOTS);
        for (int age = 0; age < SLOTS; age++) {
            ages.add(spent[index(age)]);
        }
        return ages.build();
    }

    int total(long nowNanos) {
        advance(nowNanos);
        int total = 0;
        for (int each : spent) {
            total += each;
        }
        return total;
    }

    /** Returns true if nothing was spent, or all of it given back. */
    boolean isEmpty(long nowNanos) {
        advance(nowNanos);
        for (int each : spent) {
            if (each != 0) {
                return false;
            }
        }
        return true;
    }

    void clear() {
        Arrays.fill(spent, 0);
    }

    private int index(int age) {
        return Math.floorMod(slot - age, SLOTS);
    }

    private void advance(long nowNanos) {
        long now = Math.floorDiv(nowNanos, slotNanos);
        if (now - slot >= SLOTS) {
            clear();
            slot = now;
        }
        while (slot < now) {
            slot++;
            spent[index(0)] = 0;
        }
    }
}
