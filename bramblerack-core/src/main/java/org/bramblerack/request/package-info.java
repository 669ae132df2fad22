/**
 * What lives for one request: the fan-out of a query, its answer, its coverage and its refusals.
 *
 * <p>Nothing here does I/O. Every class takes events and the present time and returns actions.
 */
@NullMarked
package org.bramblerack.request;

import org.jspecify.annotations.NullMarked;
