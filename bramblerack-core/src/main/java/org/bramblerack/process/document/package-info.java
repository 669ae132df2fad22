/** Reading of JSON documents with comments, strictly, with the place of every fault. */
@NullMarked
package org.bramblerack.process.document;

import org.jspecify.annotations.NullMarked;
