/** Requests along the routes of a configuration: to one leaf, or to one leaf of every shard. */
@NullMarked
package org.bramblerack.request.routed;

import org.jspecify.annotations.NullMarked;
