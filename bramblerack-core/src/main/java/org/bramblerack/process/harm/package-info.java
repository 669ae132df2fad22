/** Detects requests that crash the leaves which run them, and blocks them. */
@NullMarked
package org.bramblerack.process.harm;

import org.jspecify.annotations.NullMarked;
