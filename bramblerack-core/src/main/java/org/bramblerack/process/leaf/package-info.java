/** What a host knows of the leafs that it sends to: who they are, and how its own calls to them went. */
@NullMarked
package org.bramblerack.process.leaf;

import org.jspecify.annotations.NullMarked;
