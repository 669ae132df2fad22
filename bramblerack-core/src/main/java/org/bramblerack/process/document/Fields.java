package org.bramblerack.process.document;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.bramblerack.process.document.Node.ArrayNode;
import org.bramblerack.process.document.Node.BooleanNode;
import org.bramblerack.process.document.Node.DecimalNode;
import org.bramblerack.process.document.Node.IntegerNode;
import org.bramblerack.process.document.Node.Member;
import org.bramblerack.process.document.Node.ObjectNode;
import org.bramblerack.process.document.Node.TextNode;

/**
 * Reads and validates the fields of one object of a document.
 *
 * <p>A read that fails adds an error and returns a placeholder value, so that reading continues and all errors are
 * reported together. {@link #finish} reports the fields that were not read. Not safe for use by several threads.
 */
public final class Fields {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private final ObjectNode object;
    private final String path;
    private final ValidationErrorCollector errors;
    private final Set<String> requestedFields = new HashSet<>();
    private boolean ignoresUnknownFields;

    Fields(ObjectNode object, String path, ValidationErrorCollector errors) {
        this.object = object;
        this.path = path;
        this.errors = errors;
    }

    /** Returns the line on which the object starts. */
    public int line() {
        return object.line();
    }

    /** Returns the line of a field, or of the object if the field is missing. */
    public int lineOf(String name) {
        Member member = object.members().get(name);
        return member == null ? object.line() : member.line();
    }

    public boolean has(String name) {
        return object.members().containsKey(name);
    }

    /** Adds an error for a field, for checks that the reader makes itself. */
    public void addError(String name, String problem, String remedy) {
        errors.add(lineOf(name), pathOf(name), problem, remedy);
    }

    /** Reads a required name: lower case letters, digits and hyphens, at most 63 characters. */
    public String name(String field) {
        String value = text(field);
        if (!value.isEmpty() && !NAME.matcher(value).matches()) {
            addError(
                    field,
                    "\"" + value + "\" is not a name",
                    "use lower case letters, digits and hyphens, at most 63 characters");
        }
        return value;
    }

    /** Reads a required string that is not blank. */
    public String text(String field) {
        Optional<Node> value = required(field);
        if (value.isEmpty()) {
            return "";
        }
        if (value.get() instanceof TextNode text && !text.value().isBlank()) {
            return text.value();
        }
        wrongType(field, value.get(), "a text that is not empty");
        return "";
    }

    /** Reads an optional string; if present, it must not be blank. */
    public Optional<String> optionalText(String field) {
        requestedFields.add(field);
        return has(field) ? Optional.of(text(field)) : Optional.empty();
    }

    /** Reads a required address of the form {@code 10.0.0.1:8080}: an IP address and a port. */
    public HostAndPort address(String field) {
        HostAndPort fallback = HostAndPort.fromParts("127.0.0.1", 1);
        String value = text(field);
        if (value.isEmpty()) {
            return fallback;
        }
        try {
            HostAndPort address = HostAndPort.fromString(value);
            if (address.hasPort() && com.google.common.net.InetAddresses.isInetAddress(address.getHost())) {
                return address;
            }
        } catch (IllegalArgumentException malformed) {
            // Reported below, like an address without a port.
        }
        addError(field, "\"" + value + "\" is not an address", "write an IP number and a port, such as 10.0.0.1:8080");
        return fallback;
    }

    /** Reads a required integer within bounds. */
    public int integer(String field, int min, int max) {
        Optional<Node> value = required(field);
        return value.isEmpty() ? min : (int) bounded(field, value.get(), min, max, "");
    }

    /** Reads an optional integer within bounds. */
    public int integer(String field, int min, int max, int fallback) {
        requestedFields.add(field);
        return has(field) ? integer(field, min, max) : fallback;
    }

    /** Reads a required number within bounds. */
    public double decimal(String field, double min, double max) {
        Optional<Node> value = required(field);
        if (value.isEmpty()) {
            return min;
        }
        double number;
        if (value.get() instanceof IntegerNode integer) {
            number = integer.value();
        } else if (value.get() instanceof DecimalNode decimal) {
            number = decimal.value();
        } else {
            wrongType(field, value.get(), "a number");
            return min;
        }
        if (number < min || number > max) {
            addError(field, number + " is out of bounds", "choose from " + min + " to " + max);
            return min;
        }
        return number;
    }

    /** Reads an optional number within bounds. */
    public double decimal(String field, double min, double max, double fallback) {
        requestedFields.add(field);
        return has(field) ? decimal(field, min, max) : fallback;
    }

    /** Reads a required 64-bit integer within bounds. */
    public long longInteger(String field, long min, long max) {
        Optional<Node> value = required(field);
        return value.isEmpty() ? min : bounded(field, value.get(), min, max, "");
    }

    /** Accepts unknown fields in this object, for documents that a newer release may have written. */
    public void ignoreUnknownFields() {
        ignoresUnknownFields = true;
    }

    /** Reads a required duration in whole milliseconds; by convention, the field's name ends in {@code Ms}. */
    public Duration millis(String field, Duration min, Duration max) {
        Optional<Node> value = required(field);
        if (value.isEmpty()) {
            return min;
        }
        return Duration.ofMillis(bounded(field, value.get(), min.toMillis(), max.toMillis(), " milliseconds"));
    }

    /** Reads an optional duration in whole milliseconds. */
    public Duration millis(String field, Duration min, Duration max, Duration fallback) {
        requestedFields.add(field);
        return has(field) ? millis(field, min, max) : fallback;
    }

    /** Reads an optional boolean. */
    public boolean flag(String field, boolean fallback) {
        requestedFields.add(field);
        Member member = object.members().get(field);
        if (member == null) {
            return fallback;
        }
        if (member.value() instanceof BooleanNode flag) {
            return flag.value();
        }
        wrongType(field, member.value(), "true or false");
        return fallback;
    }

    /** Reads a required enum constant, written in lower case with hyphens. */
    public <T extends Enum<T>> T choice(String field, Class<T> type) {
        T[] constants = type.getEnumConstants();
        String value = text(field);
        for (T constant : constants) {
            if (toExternalName(constant).equals(value)) {
                return constant;
            }
        }
        if (!value.isEmpty()) {
            StringBuilder choices = new StringBuilder();
            for (T constant : constants) {
                choices.append(choices.length() == 0 ? "" : ", ").append(toExternalName(constant));
            }
            addError(field, "\"" + value + "\" is not a choice here", "write one of: " + choices);
        }
        return constants[0];
    }

    /** Reads a required object. */
    public <T> Optional<T> object(String field, Function<Fields, T> reader) {
        Optional<Node> value = required(field);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        return readObject(value.get(), pathOf(field), reader);
    }

    /** Reads an optional object. */
    public <T> Optional<T> optionalObject(String field, Function<Fields, T> reader) {
        requestedFields.add(field);
        return has(field) ? object(field, reader) : Optional.empty();
    }

    /** Reads an optional array of objects; a missing field is an empty array. */
    public <T> ImmutableList<T> objects(String field, int max, Function<Fields, T> reader) {
        ImmutableList.Builder<T> results = ImmutableList.builder();
        ImmutableList<Node> elements = elements(field, max);
        for (int position = 0; position < elements.size(); position++) {
            readObject(elements.get(position), pathOf(field) + "[" + position + "]", reader)
                    .ifPresent(results::add);
        }
        return results.build();
    }

    /** Reads an optional array of strings; a missing field is an empty array. */
    public ImmutableList<String> texts(String field, int max) {
        ImmutableList.Builder<String> results = ImmutableList.builder();
        for (Node element : elements(field, max)) {
            if (element instanceof TextNode text) {
                results.add(text.value());
            } else {
                errors.add(element.line(), pathOf(field), "an element is " + element.typeName(), "write texts only");
            }
        }
        return results.build();
    }

    /** Adds an error for each field that was not read. Call it after all fields have been read. */
    public void finish() {
        if (ignoresUnknownFields) {
            return;
        }
        object.members().forEach((name, member) -> {
            if (!requestedFields.contains(name)) {
                errors.add(member.line(), pathOf(name), "the field is unknown", remedyForUnknown(name));
            }
        });
    }

    private ImmutableList<Node> elements(String field, int max) {
        requestedFields.add(field);
        Member member = object.members().get(field);
        if (member == null) {
            return ImmutableList.of();
        }
        if (!(member.value() instanceof ArrayNode array)) {
            wrongType(field, member.value(), "an array");
            return ImmutableList.of();
        }
        if (array.elements().size() > max) {
            addError(field, "there are " + array.elements().size() + " elements", "keep to " + max);
            return ImmutableList.of();
        }
        return array.elements();
    }

    private <T> Optional<T> readObject(Node node, String nodePath, Function<Fields, T> reader) {
        if (!(node instanceof ObjectNode child)) {
            errors.add(node.line(), nodePath, "found " + node.typeName(), "write an object");
            return Optional.empty();
        }
        Fields fields = new Fields(child, nodePath, errors);
        T result = reader.apply(fields);
        fields.finish();
        return Optional.of(result);
    }

    private Optional<Node> required(String field) {
        requestedFields.add(field);
        Member member = object.members().get(field);
        if (member == null) {
            addError(field, "the field is missing", "add it");
            return Optional.empty();
        }
        return Optional.of(member.value());
    }

    private long bounded(String field, Node value, long min, long max, String unit) {
        if (!(value instanceof IntegerNode integer)) {
            wrongType(field, value, "a whole number" + (unit.isEmpty() ? "" : " of" + unit));
            return min;
        }
        if (integer.value() < min || integer.value() > max) {
            addError(field, integer.value() + unit + " is out of bounds", "choose from " + min + " to " + max + unit);
            return min;
        }
        return integer.value();
    }

    private void wrongType(String field, Node found, String wanted) {
        addError(field, "found " + found.typeName(), "write " + wanted);
    }

    private String remedyForUnknown(String name) {
        String suggestion = "";
        for (String candidate : requestedFields) {
            if (candidate.regionMatches(true, 0, name, 0, Math.min(4, name.length()))) {
                suggestion = candidate;
            }
        }
        return suggestion.isEmpty() ? "remove it" : "remove it, or did you mean " + suggestion;
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String toExternalName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
