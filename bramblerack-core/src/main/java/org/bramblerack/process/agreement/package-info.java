/**
 * Agreement among the control hosts: the replicated log and the state that it builds.
 *
 * <p>Nothing here does I/O. The log protocol returns what to store and what to send, in order.
 */
@NullMarked
package org.bramblerack.process.agreement;

import org.jspecify.annotations.NullMarked;
