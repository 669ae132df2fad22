package org.bramblerack.process.leaf;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import org.bramblerack.process.document.Fields;

/**
 * Which routing features are enabled.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param off the features that are disabled
 */
public record RoutingPolicy(ImmutableSet<RoutingFeature> off) {
    /** Enables all features. */
    public static final RoutingPolicy DEFAULT = new RoutingPolicy(ImmutableSet.of());

    private static final String FIELD = "mechanismsOff";

    /** Returns a policy with the given features disabled. */
    public static RoutingPolicy without(RoutingFeature... off) {
        return new RoutingPolicy(Sets.immutableEnumSet(ImmutableList.copyOf(off)));
    }

    /** Reads the optional list of disabled features, as {@code "mechanismsOff": ["hedges"]}. */
    public static RoutingPolicy read(Fields fields) {
        Set<RoutingFeature> off = EnumSet.noneOf(RoutingFeature.class);
        for (String text : fields.texts(FIELD, RoutingFeature.values().length)) {
            boolean known = false;
            for (RoutingFeature feature : RoutingFeature.values()) {
                if (keyOf(feature).equals(text)) {
                    off.add(feature);
                    known = true;
                }
            }
            if (!known) {
                fields.addError(FIELD, "\"" + text + "\" is no mechanism", "write some of: " + choices());
            }
        }
        return new RoutingPolicy(Sets.immutableEnumSet(off));
    }

    public boolean uses(RoutingFeature feature) {
        return !off.contains(feature);
    }

    private static String choices() {
        StringBuilder choices = new StringBuilder();
        for (RoutingFeature feature : RoutingFeature.values()) {
            choices.append(choices.length() == 0 ? "" : ", ").append(keyOf(feature));
        }
        return choices.toString();
    }

    private static String keyOf(RoutingFeature feature) {
        return feature.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
