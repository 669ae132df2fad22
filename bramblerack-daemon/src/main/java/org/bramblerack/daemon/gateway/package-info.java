/**
 * The entry role on routed configurations: takes requests of callers, sends them to leafs, and answers.
 *
 * <p>Everything in this package belongs to one event loop, and nothing in it is locked: on a fraction of a core more
 * threads would only add switches between them.
 */
@NullMarked
package org.bramblerack.daemon.gateway;

import org.jspecify.annotations.NullMarked;
