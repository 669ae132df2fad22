/**
 * The entry role for routed configurations: receives requests from callers, calls leaves and answers.
 *
 * <p>The package runs on one event loop and uses no locks: on a fraction of a core, more threads would only add context
 * switches.
 */
@NullMarked
package org.bramblerack.daemon.gateway;

import org.jspecify.annotations.NullMarked;
