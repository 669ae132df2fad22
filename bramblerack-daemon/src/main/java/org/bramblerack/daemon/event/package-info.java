/** Structured logging: one JSON object per line, written by a separate thread so that requests never wait for it. */
@NullMarked
package org.bramblerack.daemon.event;

import org.jspecify.annotations.NullMarked;
