/** The logging setup and signal handling that all processes share. */
@NullMarked
package org.bramblerack.daemon.lifecycle;

import org.jspecify.annotations.NullMarked;
