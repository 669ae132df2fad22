/** The routing configuration: routes, services, teams and limits. */
@NullMarked
package org.bramblerack.version.routing;

import org.jspecify.annotations.NullMarked;
