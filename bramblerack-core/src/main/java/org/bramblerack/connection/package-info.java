/**
 * What lives as long as the connections to one upstream: who may hold them, how many, and the queue before them.
 *
 * <p>Nothing here does I/O. Every class takes events and the present time and returns actions.
 */
@NullMarked
package org.bramblerack.connection;

import org.jspecify.annotations.NullMarked;
