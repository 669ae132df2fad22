/**
 * Experiments that compare routing policies in a discrete-event simulation: the real routing classes run against
 * modelled leaves, callers, hosts and network delays.
 */
@NullMarked
package org.bramblerack.cli.experiment;

import org.jspecify.annotations.NullMarked;
