/** One process: its services, wired together, started and stopped in order. */
@NullMarked
package org.bramblerack.daemon.host;

import org.jspecify.annotations.NullMarked;
