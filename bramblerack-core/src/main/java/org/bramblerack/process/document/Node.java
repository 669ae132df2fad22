package org.bramblerack.process.document;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * A value of a JSON document, with the line on which it starts.
 *
 * <p>Immutable and safe for use by many threads.
 */
sealed interface Node {
    /** Returns the line on which the value starts, counted from 1. */
    int line();

    /** Returns the name of the value's type with an article, for error messages. */
    String typeName();

    /** A JSON object with its members in document order. */
    record ObjectNode(int line, ImmutableMap<String, Member> members) implements Node {
        @Override
        public String typeName() {
            return "an object";
        }
    }

    /** A JSON array. */
    record ArrayNode(int line, ImmutableList<Node> elements) implements Node {
        @Override
        public String typeName() {
            return "an array";
        }
    }

    /** A JSON string. */
    record TextNode(int line, String value) implements Node {
        @Override
        public String typeName() {
            return "a text";
        }
    }

    /** An integer of at most 64 bits. */
    record IntegerNode(int line, long value) implements Node {
        @Override
        public String typeName() {
            return "a whole number";
        }
    }

    /** A JSON boolean. */
    record BooleanNode(int line, boolean value) implements Node {
        @Override
        public String typeName() {
            return "true or false";
        }
    }

    /** A number with a fraction or an exponent. */
    record DecimalNode(int line, double value) implements Node {
        @Override
        public String typeName() {
            return "a fraction";
        }
    }

    /** A value that no field accepts: null or an integer of more than 64 bits. */
    record OtherNode(int line, String typeName) implements Node {}

    /** The value of an object's member, with the line of the member's name. */
    record Member(int line, Node value) {}
}
