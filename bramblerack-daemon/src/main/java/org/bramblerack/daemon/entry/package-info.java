/** The entry role: the HTTP interface to callers and operators, and the queries in flight. */
@NullMarked
package org.bramblerack.daemon.entry;

import org.jspecify.annotations.NullMarked;
