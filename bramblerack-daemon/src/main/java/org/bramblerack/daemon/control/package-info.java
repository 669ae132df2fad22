/** The control role: drives the replicated log, its files and its state. */
@NullMarked
package org.bramblerack.daemon.control;

import org.jspecify.annotations.NullMarked;
