/** What lives for one version: an index version of a service, or a revision of the declared configuration. */
@NullMarked
package org.bramblerack.version;

import org.jspecify.annotations.NullMarked;
