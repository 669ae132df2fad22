/** Structured log lines: one JSON object a line, written by a thread of its own, so that no request waits for them. */
@NullMarked
package org.bramblerack.daemon.event;

import org.jspecify.annotations.NullMarked;
