/** The leaves that a host sends requests to: their location, state and observed performance. */
@NullMarked
package org.bramblerack.process.leaf;

import org.jspecify.annotations.NullMarked;
