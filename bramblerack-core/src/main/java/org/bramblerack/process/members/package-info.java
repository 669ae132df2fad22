/** The agreed tables of the fleet: the routing configuration in force, the leafs and the hosts. */
@NullMarked
package org.bramblerack.process.members;

import org.jspecify.annotations.NullMarked;
