package org.bramblerack.process.agreement;

import java.util.random.RandomGenerator;

/**
 * The names of voters: an address, and a tag that tells apart the voters that lived there.
 *
 * <p>A host that lost its disk has lost its votes, so it comes back under another name. Stateless.
 */
public final class VoterName {
    /** Separates the address from the tag. */
    public static final char TAG = '#';

    private VoterName() {}

    /** Returns a name that no voter at the address has had. */
    public static String generate(String address, RandomGenerator random) {
        return address + TAG + Long.toHexString(random.nextLong());
    }
}
