/** What every process needs at its start and at its end: logs and signals. */
@NullMarked
package org.bramblerack.daemon.lifecycle;

import org.jspecify.annotations.NullMarked;
