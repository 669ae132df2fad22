package org.bramblerack.process.leaf;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import org.bramblerack.process.document.Fields;

/**
 * Which mechanisms take part in routing.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param off those that are switched off
 */
public record RoutingPolicy(ImmutableSet<RoutingFeature> off) {
    /** Every mechanism takes part. */
    public static final RoutingPolicy DEFAULT = new RoutingPolicy(ImmutableSet.of());

    private static final String FIELD = "mechanismsOff";

    /** Returns a policy without some mechanisms. */
    public static RoutingPolicy without(RoutingFeature... off) {
        return new RoutingPolicy(Sets.immutableEnumSet(ImmutableList.copyOf(off)));
    }

    /** Reads the optional list of mechanisms that are off, as {@code "mechanismsOff": ["hedges"]}. */
    public static RoutingPolicy read(Fields fields) {
        Set<RoutingFeature> off = EnumSet.noneOf(RoutingFeature.class);
        for (String text : fields.texts(FIELD, RoutingFeature.values().length)) {
            boolean known = false;
            for (RoutingFeature mechanism : RoutingFeature.values()) {
                if (keyOf(mechanism).equals(text)) {
                    off.add(mechanism);
                    known = true;
                }
            }
            if (!known) {
                fields.addError(FIELD, "\"" + text + "\" is no mechanism", "write some of: " + choices());
            }
        }
        return new RoutingPolicy(Sets.immutableEnumSet(off));
    }

    /** Returns true if a mechanism takes part. */
    public boolean uses(RoutingFeature mechanism) {
        return !off.contains(mechanism);
    }

    private static String choices() {
        StringBuilder choices = new StringBuilder();
        for (RoutingFeature mechanism : RoutingFeature.values()) {
            choices.append(choices.length() == 0 ? "" : ", ").append(keyOf(mechanism));
        }
        return choices.toString();
    }

    private static String keyOf(RoutingFeature mechanism) {
        return mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
