/**
 * The state machines of queries and once-only requests, their answers, coverage and refusals, and the admission of
 * queries.
 *
 * <p>No class performs I/O: methods take an event and the current time and return the actions to perform.
 */
@NullMarked
package org.bramblerack.request;

import org.jspecify.annotations.NullMarked;
