package org.bramblerack.cli.experiment;

import java.time.Duration;

/**
 * A fault that is injected into a share of the leaves for a limited time.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param kind the kind of fault
 * @param start when the fault begins, counted from the start of the load
 * @param duration how long the fault lasts
 * @param share the share of leaves that are affected
 * @param strength its meaning depends on the kind, see {@link Kind}
 */
record InjectedFault(Kind kind, Duration start, Duration duration, double share, double strength) {
    /** The kinds of faults. */
    enum Kind {
        /** Calls take {@code strength} times as long. */
        SLOW,
        /** The leaf immediately refuses the share {@code strength} of its calls without running them. */
        REFUSING,
        /** The leaf is unreachable: calls do not arrive and answers are lost. */
        DARK,
        /** The leaf is alternately unreachable and reachable, each for {@code strength} seconds. */
        FLAPPING
    }
}
