/**
 * Connections to upstreams and leaves: which hosts hold them, how many, and the queue of calls to each upstream.
 *
 * <p>No class does I/O: each takes events and the current time, and returns actions.
 */
@NullMarked
package org.bramblerack.connection;

import org.jspecify.annotations.NullMarked;
