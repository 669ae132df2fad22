/** The control role: the replicated log, its files and its state machine. */
@NullMarked
package org.bramblerack.daemon.control;

import org.jspecify.annotations.NullMarked;
