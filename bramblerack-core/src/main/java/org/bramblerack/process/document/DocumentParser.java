package org.bramblerack.process.document;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses JSON with comments into nodes that record their line numbers.
 *
 * <p>Comments ({@code //}, {@code /* *}{@code /}) and trailing commas are accepted. Length and nesting depth are
 * limited, which bounds the memory that a malicious document can use. {@link #parse} is safe for use by many threads.
 */
final class DocumentParser {
    static final int MAX_LENGTH_CHARS = 8 * 1024 * 1024;
    private static final int MAX_DEPTH = 16;
    private static final int MAX_TEXT_CHARS = 64 * 1024;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxStringLength(MAX_TEXT_CHARS)
                    .build())
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private static final Pattern UNQUOTED_WORD = Pattern.compile("Unrecognized token '[^']*'");

    private final ValidationErrorCollector errors;

    private DocumentParser(ValidationErrorCollector errors) {
        this.errors = errors;
    }

    /**
     * Parses a whole document.
     *
     * @param text the document
     * @param errors receives an error for each duplicate field name
     * @return the root node
     * @throws SyntaxException if the text is not a single JSON document within the limits
     */
    static Node parse(String text, ValidationErrorCollector errors) throws SyntaxException {
        checkArgument(text.length() <= MAX_LENGTH_CHARS, "document of %s characters is too long", text.length());
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new SyntaxException(new ValidationError(1, "", "the document is empty", "write one JSON object"));
            }
            Node root = new DocumentParser(errors).parseValue(parser, "");
            if (parser.nextToken() != null) {
                throw new SyntaxException(new ValidationError(
                        lineOf(parser), "", "there is text after the end of the document", "keep one JSON object"));
            }
            return root;
        } catch (StreamConstraintsException tooLarge) {
            throw new SyntaxException(new ValidationError(
                    lineOf(tooLarge),
                    "",
                    "the document is nested too deep or has a text that is too long",
                    "keep to " + MAX_DEPTH + " levels and texts of " + MAX_TEXT_CHARS + " characters"));
        } catch (JsonParseException malformed) {
            throw new SyntaxException(new ValidationError(
                    lineOf(malformed),
                    "",
                    "not valid JSON: " + problem(malformed.getOriginalMessage()),
                    "correct the syntax there"));
        } catch (IOException impossible) {
            throw new SyntaxException(
                    new ValidationError(1, "", "unreadable: " + impossible.getMessage(), "check the file's encoding"));
        }
    }

    private Node parseValue(JsonParser parser, String path) throws IOException {
        int line = lineOf(parser);
        return switch (parser.currentToken()) {
            case START_OBJECT -> parseObject(parser, path, line);
            case START_ARRAY -> parseArray(parser, path, line);
            case VALUE_STRING -> new Node.TextNode(line, parser.getText());
            case VALUE_NUMBER_INT -> parseInteger(parser, line);
            case VALUE_TRUE -> new Node.BooleanNode(line, true);
            case VALUE_FALSE -> new Node.BooleanNode(line, false);
            case VALUE_NUMBER_FLOAT -> new Node.DecimalNode(line, parser.getDoubleValue());
            default -> new Node.OtherNode(line, "null");
        };
    }

    private static Node parseInteger(JsonParser parser, int line) throws IOException {
        return switch (parser.getNumberType()) {
            case INT, LONG -> new Node.IntegerNode(line, parser.getLongValue());
            default -> new Node.OtherNode(line, "a number beyond 64 bits");
        };
    }

    private Node parseObject(JsonParser parser, String path, int line) throws IOException {
        Map<String, Node.Member> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            int nameLine = lineOf(parser);
            String memberPath = path.isEmpty() ? name : path + "." + name;
            parser.nextToken();
            Node value = parseValue(parser, memberPath);
            if (members.putIfAbsent(name, new Node.Member(nameLine, value)) != null) {
                errors.add(nameLine, memberPath, "the field is given twice", "keep one of them");
            }
        }
        return new Node.ObjectNode(line, ImmutableMap.copyOf(members));
    }

    private Node parseArray(JsonParser parser, String path, int line) throws IOException {
        ImmutableList.Builder<Node> elements = ImmutableList.builder();
        int position = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(parseValue(parser, path + "[" + position + "]"));
            position++;
        }
        return new Node.ArrayNode(line, elements.build());
    }

    private static int lineOf(JsonParser parser) {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }

    private static int lineOf(com.fasterxml.jackson.core.JsonProcessingException failure) {
        return failure.getLocation() == null
                ? 1
                : Math.max(1, failure.getLocation().getLineNr());
    }

    /** Returns the parser's message without text from the document, since an unquoted token may be a secret. */
    private static String problem(String message) {
        int end = message.indexOf('\n');
        return UNQUOTED_WORD
                .matcher(end < 0 ? message : message.substring(0, end))
                .replaceFirst("a word without quotes");
    }

    /** Thrown if the text is not a JSON document. */
    static final class SyntaxException extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient ValidationError error;

        SyntaxException(ValidationError error) {
            super(error.toString());
            this.error = error;
        }

        ValidationError error() {
            return error;
        }
    }
}
