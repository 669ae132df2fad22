/** The entry role: the HTTP interface for callers and operators, and the execution of their requests. */
@NullMarked
package org.bramblerack.daemon.entry;

import org.jspecify.annotations.NullMarked;
