/** The service of the control role for leaves, operators and entry hosts: reports, configurations and tables. */
@NullMarked
package org.bramblerack.daemon.fleet;

import org.jspecify.annotations.NullMarked;
