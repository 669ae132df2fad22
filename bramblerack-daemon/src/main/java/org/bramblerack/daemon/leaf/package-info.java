/** The connections to leaves and the HTTP protocol on them. */
@NullMarked
package org.bramblerack.daemon.leaf;

import org.jspecify.annotations.NullMarked;
