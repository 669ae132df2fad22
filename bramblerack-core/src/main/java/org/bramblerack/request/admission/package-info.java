/** Who is served first, who waits and who is refused while a host has too little room. */
@NullMarked
package org.bramblerack.request.admission;

import org.jspecify.annotations.NullMarked;
