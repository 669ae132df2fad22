/**
 * Small stand-ins for what the tier meets: upstreams that straggle, shed, drain and fail on demand.
 *
 * <p>They are for the demonstration, benchmarks and tests, not for use.
 */
@NullMarked
package org.bramblerack.standin;

import org.jspecify.annotations.NullMarked;
