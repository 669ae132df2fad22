/** The replicated tables of the fleet: the routing configuration in force, the leaves and the hosts. */
@NullMarked
package org.bramblerack.process.members;

import org.jspecify.annotations.NullMarked;
