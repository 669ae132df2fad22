package org.bramblerack.process.agreement;

import java.util.random.RandomGenerator;

/**
 * Names of voters: an address, followed by a tag that distinguishes successive voters at this address.
 *
 * <p>A host that lost its disk does not know how it voted, so it rejoins under a new name. Stateless.
 */
public final class VoterName {
    public static final char TAG_SEPARATOR = '#';

    private VoterName() {}

    /** Returns a name with a random tag, so that no earlier voter at the address had it. */
    public static String generate(String address, RandomGenerator random) {
        return address + TAG_SEPARATOR + Long.toHexString(random.nextLong());
    }
}
