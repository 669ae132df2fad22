package org.bramblerack.process.leaf;

import com.google.common.base.Splitter;
import java.util.List;
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

    private static final Splitter FIGURES = Splitter.on(',');
    /** Figures that every leaf tells; how long work takes is told by some only. */
    private static final int LEAST_FIGURES = 3;

    private static final int MOST_FIGURES = 4;

    /** Reads three or four numbers joined by commas; anything else says nothing. */
    public static Optional<LeafLoad> parse(String text) {
        List<String> figures = FIGURES.splitToList(text);
        if (figures.size() < LEAST_FIGURES || figures.size() > MOST_FIGURES) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LeafLoad(
                    Integer.parseInt(figures.get(0)),
                    Integer.parseInt(figures.get(1)),
                    Integer.parseInt(figures.get(2)),
                    figures.size() == MOST_FIGURES ? Integer.parseInt(figures.get(3)) : USUAL_PERCENT));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
