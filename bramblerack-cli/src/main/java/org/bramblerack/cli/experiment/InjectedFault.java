package org.bramblerack.cli.experiment;

import java.time.Duration;

/**
 * Something that befalls a share of the leafs for a while.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param kind what befalls them
 * @param start when it begins
 * @param duration how long it lasts
 * @param share the share of the leafs that it befalls
 * @param strength how many times as long calls take, or the share of calls that are refused; see {@link Kind}
 */
record InjectedFault(Kind kind, Duration start, Duration duration, double share, double strength) {
    /** What can befall a leaf. */
    enum Kind {
        /** Its calls take {@code strength} times as long. */
        SLOW,
        /** It refuses the share {@code strength} of its calls at once and has not run them. */
        REFUSING,
        /** Nothing that is sent to it arrives, and nothing comes back. */
        DARK,
        /** It is dark for {@code strength} seconds, well for as long, and so on. */
        FLAPPING
    }
}
