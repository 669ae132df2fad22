/**
 * What lives for the whole process: clocks, budgets, evidence about upstreams, views of other hosts.
 *
 * <p>Nothing here does I/O. Time is passed in by the caller or through an interface.
 */
@NullMarked
package org.bramblerack.process;

import org.jspecify.annotations.NullMarked;
