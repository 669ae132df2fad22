/** How many requests each team makes on all hosts together: who keeps account, and who may make the next one. */
@NullMarked
package org.bramblerack.process.quota;

import org.jspecify.annotations.NullMarked;
