package org.bramblerack.process.document;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Function;
import org.bramblerack.process.document.Node.ObjectNode;

/**
 * Reads a JSON document with comments whole, or returns all of its faults.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class DocumentReader {
    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param text the document
     * @param reader reads the root object's fields; need not call {@link Fields#finish}
     * @return the value read, or every fault found, in the order of lines, never empty
     */
    public static <T> Either<ImmutableList<ValidationError>, T> read(String text, Function<Fields, T> reader) {
        requireNonNull(text);
        requireNonNull(reader);
        ValidationErrorCollector faults = new ValidationErrorCollector();
        if (text.length() > DocumentParser.MAX_LENGTH_CHARS) {
            return Either.left(ImmutableList.of(new ValidationError(
                    1,
                    "",
                    "the document has " + text.length() + " characters",
                    "keep to " + DocumentParser.MAX_LENGTH_CHARS)));
        }
        Node root;
        try {
            root = DocumentParser.parse(text, faults);
        } catch (DocumentParser.SyntaxFault syntax) {
            return Either.left(ImmutableList.of(syntax.fault()));
        }
        Optional<T> value = readRoot(root, reader, faults);
        if (value.isPresent() && faults.isEmpty()) {
            return Either.right(value.get());
        }
        return Either.left(faults.sorted());
    }

    private static <T> Optional<T> readRoot(Node root, Function<Fields, T> reader, ValidationErrorCollector faults) {
        if (!(root instanceof ObjectNode object)) {
            faults.add(root.line(), "", "found " + root.typeName(), "write one JSON object");
            return Optional.empty();
        }
        Fields fields = new Fields(object, "", faults);
        T value = reader.apply(fields);
        fields.finish();
        return Optional.ofNullable(value);
    }
}
