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
 * The fields of one object of a document, read one by one and checked as they are read.
 *
 * <p>A read that fails reports a fault and returns a stand-in value, so that reading goes on and all faults are found
 * at once. {@link #finish} reports the fields that nobody asked for. Not safe for use by several threads.
 */
public final class Fields {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private final ObjectNode object;
    private final String path;
    private final ValidationErrorCollector faults;
    private final Set<String> known = new HashSet<>();
    private boolean ignoresUnknown;

    Fields(ObjectNode object, String path, ValidationErrorCollector faults) {
        this.object = object;
        this.path = path;
        this.faults = faults;
    }

    /** Returns the line that the object starts on. */
    public int line() {
        return object.line();
    }

    /** Returns the line of a field, or of the object if the field is missing. */
    public int lineOf(String name) {
        Member member = object.members().get(name);
        return member == null ? object.line() : member.line();
    }

    /** Returns true if the field is present. */
    public boolean has(String name) {
        return object.members().containsKey(name);
    }

    /** Reports a fault of a field that the reader itself found. */
    public void addError(String name, String problem, String remedy) {
        faults.add(lineOf(name), pathOf(name), problem, remedy);
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

    /** Reads a required text that is not empty. */
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

    /** Reads an optional text. */
    public Optional<String> optionalText(String field) {
        known.add(field);
        return has(field) ? Optional.of(text(field)) : Optional.empty();
    }

    /** Reads an address of the form {@code 10.0.0.1:8080}: an IP number and a port. */
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
            // Reported below, together with addresses that lack a part.
        }
        addError(field, "\"" + value + "\" is not an address", "write an IP number and a port, such as 10.0.0.1:8080");
        return fallback;
    }

    /** Reads a required whole number within bounds. */
    public int integer(String field, int least, int most) {
        Optional<Node> value = required(field);
        return value.isEmpty() ? least : (int) bounded(field, value.get(), least, most, "");
    }

    /** Reads an optional whole number within bounds. */
    public int integer(String field, int least, int most, int fallback) {
        known.add(field);
        return has(field) ? integer(field, least, most) : fallback;
    }

    /** Reads a required number, whole or not, within bounds. */
    public double decimal(String field, double least, double most) {
        Optional<Node> value = required(field);
        if (value.isEmpty()) {
            return least;
        }
        double number;
        if (value.get() instanceof IntegerNode integer) {
            number = integer.value();
        } else if (value.get() instanceof DecimalNode decimal) {
            number = decimal.value();
        } else {
            wrongType(field, value.get(), "a number");
            return least;
        }
        if (number < least || number > most) {
            addError(field, number + " is out of bounds", "choose from " + least + " to " + most);
            return least;
        }
        return number;
    }

    /** Reads an optional number, whole or not, within bounds. */
    public double decimal(String field, double least, double most, double fallback) {
        known.add(field);
        return has(field) ? decimal(field, least, most) : fallback;
    }

    /** Reads a required whole number of 64 bits within bounds. */
    public long longInteger(String field, long least, long most) {
        Optional<Node> value = required(field);
        return value.isEmpty() ? least : bounded(field, value.get(), least, most, "");
    }

    /** Accepts fields that nobody asks for, in this object: its writer may be newer than this program. */
    public void ignoreUnknownFields() {
        ignoresUnknown = true;
    }

    /** Reads a required duration of whole milliseconds; the field's name must end in {@code Ms}. */
    public Duration millis(String field, Duration least, Duration most) {
        Optional<Node> value = required(field);
        if (value.isEmpty()) {
            return least;
        }
        return Duration.ofMillis(bounded(field, value.get(), least.toMillis(), most.toMillis(), " milliseconds"));
    }

    /** Reads an optional duration of whole milliseconds. */
    public Duration millis(String field, Duration least, Duration most, Duration fallback) {
        known.add(field);
        return has(field) ? millis(field, least, most) : fallback;
    }

    /** Reads an optional truth value. */
    public boolean flag(String field, boolean fallback) {
        known.add(field);
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

    /** Reads a required choice among the constants of an enumeration, written in lower case with hyphens. */
    public <T extends Enum<T>> T choice(String field, Class<T> type) {
        T[] constants = type.getEnumConstants();
        String value = text(field);
        for (T constant : constants) {
            if (spell(constant).equals(value)) {
                return constant;
            }
        }
        if (!value.isEmpty()) {
            StringBuilder choices = new StringBuilder();
            for (T constant : constants) {
                choices.append(choices.length() == 0 ? "" : ", ").append(spell(constant));
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
        known.add(field);
        return has(field) ? object(field, reader) : Optional.empty();
    }

    /** Reads an optional array of objects; a missing field is an empty array. */
    public <T> ImmutableList<T> objects(String field, int most, Function<Fields, T> reader) {
        ImmutableList.Builder<T> results = ImmutableList.builder();
        ImmutableList<Node> elements = elements(field, most);
        for (int position = 0; position < elements.size(); position++) {
            readObject(elements.get(position), pathOf(field) + "[" + position + "]", reader)
                    .ifPresent(results::add);
        }
        return results.build();
    }

    /** Reads an optional array of texts; a missing field is an empty array. */
    public ImmutableList<String> texts(String field, int most) {
        ImmutableList.Builder<String> results = ImmutableList.builder();
        for (Node element : elements(field, most)) {
            if (element instanceof TextNode text) {
                results.add(text.value());
            } else {
                faults.add(element.line(), pathOf(field), "an element is " + element.typeName(), "write texts only");
            }
        }
        return results.build();
    }

    /** Reports every field that was never asked for. Call it once all fields are read. */
    public void finish() {
        if (ignoresUnknown) {
            return;
        }
        object.members().forEach((name, member) -> {
            if (!known.contains(name)) {
                faults.add(member.line(), pathOf(name), "the field is unknown", remedyForUnknown(name));
            }
        });
    }

    private ImmutableList<Node> elements(String field, int most) {
        known.add(field);
        Member member = object.members().get(field);
        if (member == null) {
            return ImmutableList.of();
        }
        if (!(member.value() instanceof ArrayNode array)) {
            wrongType(field, member.value(), "an array");
            return ImmutableList.of();
        }
        if (array.elements().size() > most) {
            addError(field, "there are " + array.elements().size() + " elements", "keep to " + most);
            return ImmutableList.of();
        }
        return array.elements();
    }

    private <T> Optional<T> readObject(Node node, String nodePath, Function<Fields, T> reader) {
        if (!(node instanceof ObjectNode child)) {
            faults.add(node.line(), nodePath, "found " + node.typeName(), "write an object");
            return Optional.empty();
        }
        Fields fields = new Fields(child, nodePath, faults);
        T result = reader.apply(fields);
        fields.finish();
        return Optional.of(result);
    }

    private Optional<Node> required(String field) {
        known.add(field);
        Member member = object.members().get(field);
        if (member == null) {
            addError(field, "the field is missing", "add it");
            return Optional.empty();
        }
        return Optional.of(member.value());
    }

    private long bounded(String field, Node value, long least, long most, String unit) {
        if (!(value instanceof IntegerNode integer)) {
            wrongType(field, value, "a whole number" + (unit.isEmpty() ? "" : " of" + unit));
            return least;
        }
        if (integer.value() < least || integer.value() > most) {
            addError(
                    field, integer.value() + unit + " is out of bounds", "choose from " + least + " to " + most + unit);
            return least;
        }
        return integer.value();
    }

    private void wrongType(String field, Node found, String wanted) {
        addError(field, "found " + found.typeName(), "write " + wanted);
    }

    private String remedyForUnknown(String name) {
        String close = "";
        for (String candidate : known) {
            if (candidate.regionMatches(true, 0, name, 0, Math.min(4, name.length()))) {
                close = candidate;
            }
        }
        return close.isEmpty() ? "remove it" : "remove it, or did you mean " + close;
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String spell(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
