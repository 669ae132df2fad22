/** The control role as leafs, operators and entry hosts use it: reports, configurations, and the tables they follow. */
@NullMarked
package org.bramblerack.daemon.fleet;

import org.jspecify.annotations.NullMarked;
