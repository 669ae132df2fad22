/**
 * Stand-in upstreams that straggle, shed load, drain and fail on demand.
 *
 * <p>For the demonstration, benchmarks and tests only; not for production.
 */
@NullMarked
package org.bramblerack.standin;

import org.jspecify.annotations.NullMarked;
