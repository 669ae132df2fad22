package org.bramblerack.process.document;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Function;
import org.bramblerack.process.document.Node.ObjectNode;

/**
 * Reads a JSON document with comments and validates it, collecting all errors.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class DocumentReader {
    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param text the document
     * @param reader reads the root object's fields; it need not call {@link Fields#finish}
     * @return the value, or a non-empty list of errors in the order of their lines
     */
    public static <T> Either<ImmutableList<ValidationError>, T> read(String text, Function<Fields, T> reader) {
        requireNonNull(text);
        requireNonNull(reader);
        ValidationErrorCollector errors = new ValidationErrorCollector();
        if (text.length() > DocumentParser.MAX_LENGTH_CHARS) {
            return Either.left(ImmutableList.of(new ValidationError(
                    1,
                    "",
                    "the document has " + text.length() + " characters",
                    "keep to " + DocumentParser.MAX_LENGTH_CHARS)));
        }
        Node root;
        try {
            root = DocumentParser.parse(text, errors);
        } catch (DocumentParser.SyntaxException syntax) {
            return Either.left(ImmutableList.of(syntax.error()));
        }
        Optional<T> value = readRoot(root, reader, errors);
        if (value.isPresent() && errors.isEmpty()) {
            return Either.right(value.get());
        }
        return Either.left(errors.sorted());
    }

    private static <T> Optional<T> readRoot(Node root, Function<Fields, T> reader, ValidationErrorCollector errors) {
        if (!(root instanceof ObjectNode object)) {
            errors.add(root.line(), "", "found " + root.typeName(), "write one JSON object");
            return Optional.empty();
        }
        Fields fields = new Fields(object, "", errors);
        T value = reader.apply(fields);
        fields.finish();
        return Optional.ofNullable(value);
    }
}
