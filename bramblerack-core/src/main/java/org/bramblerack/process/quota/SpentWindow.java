package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.List;

/**
 * Counts the requests spent within a sliding window, in slots by age.
 *
 * <p>Not safe for use by several threads.
 */
final class SpentWindow {
    static final int SLOTS = 20;

    private final long slotNanos;
    private final int[] spent = new int[SLOTS];
    private long slot;

    SpentWindow(long windowNanos, long nowNanos) {
        this.slotNanos = windowNanos / SLOTS;
        this.slot = Math.floorDiv(nowNanos, slotNanos);
    }

    /** Returns the length of a slot. */
    long slotNanos() {
        return slotNanos;
    }

    /** Adds requests spent now; a negative count is a refund. */
    void add(int count, long nowNanos) {
        advance(nowNanos);
        spent[index(0)] += count;
    }

    /** Adds earlier spending by slot, the latest first. */
    void addByAge(List<Integer> byAge, long nowNanos) {
        advance(nowNanos);
        for (int age = 0; age < Math.min(SLOTS, byAge.size()); age++) {
            spent[index(age)] += byAge.get(age);
        }
    }

    /** Moves the spending of another window to this one. */
    void moveFrom(SpentWindow other, long nowNanos) {
        addByAge(other.byAge(nowNanos), nowNanos);
        other.clear();
    }

    /** Returns the spending by slot, the latest first. */
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

    /** Returns true if nothing was spent, or everything was refunded. */
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

    /** Advances to the slot of the given time, clearing the slots that leave the window. */
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
