package org.bramblerack.process.leaf;

import java.util.Optional;

/**
 * What a leaf says of its load in an answer.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param running the requests that it works on
 * @param waiting the requests that wait for a slot
 * @param slots how many it works on at a time
 * @param workPercent how long work takes there at this moment, {@value #USUAL_PERCENT} if as long as usual
 */
public record LeafLoad(int running, int waiting, int slots, int workPercent) {
    /** Work takes as long as usual. */
    public static final int USUAL_PERCENT = 100;

    private static final char SEPARATOR = ',';

    /** Reads three or four numbers joined by commas; anything else says nothing. */
    public static Optional<LeafLoad> parse(String text) {
        int first = text.indexOf(SEPARATOR);
        int second = text.indexOf(SEPARATOR, first + 1);
        if (first <= 0 || second < 0) {
            return Optional.empty();
        }
        int third = text.indexOf(SEPARATOR, second + 1);
        int slotsEnd = third < 0 ? text.length() : third;
        try {
            // A further comma is no part of a number, so that a fifth figure says nothing either.
            return Optional.of(new LeafLoad(
                    Integer.parseInt(text, 0, first, 10),
                    Integer.parseInt(text, first + 1, second, 10),
                    Integer.parseInt(text, second + 1, slotsEnd, 10),
                    third < 0 ? USUAL_PERCENT : Integer.parseInt(text, third + 1, text.length(), 10)));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
