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
 */
public record LeafLoad(int running, int waiting, int slots) {
    /** Reads three numbers joined by commas; anything else says nothing. */
    public static Optional<LeafLoad> parse(String text) {
        int first = text.indexOf(',');
        int second = text.indexOf(',', first + 1);
        if (first <= 0 || second < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LeafLoad(
                    Integer.parseInt(text, 0, first, 10),
                    Integer.parseInt(text, first + 1, second, 10),
                    Integer.parseInt(text, second + 1, text.length(), 10)));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
