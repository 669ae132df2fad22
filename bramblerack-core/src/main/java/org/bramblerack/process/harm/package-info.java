/** Which requests end the leafs that run them: what is seen of that, and what follows from it. */
@NullMarked
package org.bramblerack.process.harm;

import org.jspecify.annotations.NullMarked;
