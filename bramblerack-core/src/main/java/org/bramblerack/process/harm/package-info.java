/** Detects requests that end the leaves which run them, and blocks them. */
@NullMarked
package org.bramblerack.process.harm;

import org.jspecify.annotations.NullMarked;
