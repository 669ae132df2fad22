/** The connections to leafs and what is spoken on them. */
@NullMarked
package org.bramblerack.daemon.leaf;

import org.jspecify.annotations.NullMarked;
