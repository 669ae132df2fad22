/** The routing configuration: which request goes to which service, and within which bounds. */
@NullMarked
package org.bramblerack.version.routing;

import org.jspecify.annotations.NullMarked;
