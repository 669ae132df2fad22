package org.bramblerack.process.leaf;

import java.util.Optional;

/**
 * The load that a leaf reports in an answer.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param running how many requests it processes
 * @param waiting how many requests wait for a slot
 * @param slots how many requests it processes concurrently
 * @param workPercent how long work currently takes, {@value #USUAL_PERCENT} if as long as usual
 */
public record LeafLoad(int running, int waiting, int slots, int workPercent) {
    public static final int USUAL_PERCENT = 100;

    private static final char SEPARATOR = ',';

    /** Parses three or four integers separated by commas; returns empty for any other text. */
    public static Optional<LeafLoad> parse(String text) {
        int first = text.indexOf(SEPARATOR);
        int second = text.indexOf(SEPARATOR, first + 1);
        if (first <= 0 || second < 0) {
            return Optional.empty();
        }
        int third = text.indexOf(SEPARATOR, second + 1);
        int slotsEnd = third < 0 ? text.length() : third;
        try {
            // A fourth comma fails to parse as part of a number, so that a fifth field is rejected.
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
