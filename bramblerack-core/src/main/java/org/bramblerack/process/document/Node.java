package org.bramblerack.process.document;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * A value of a JSON document together with the line it starts on.
 *
 * <p>Immutable and safe for use by many threads.
 */
sealed interface Node {
    /** Returns the line that the value starts on, counted from 1. */
    int line();

    /** Returns the name of the value's type as a person would say it. */
    String typeName();

    /** An object; its members keep their order. */
    record ObjectNode(int line, ImmutableMap<String, Member> members) implements Node {
        @Override
        public String typeName() {
            return "an object";
        }
    }

    /** An array. */
    record ArrayNode(int line, ImmutableList<Node> elements) implements Node {
        @Override
        public String typeName() {
            return "an array";
        }
    }

    /** A text. */
    record TextNode(int line, String value) implements Node {
        @Override
        public String typeName() {
            return "a text";
        }
    }

    /** A whole number that fits 64 bits. */
    record IntegerNode(int line, long value) implements Node {
        @Override
        public String typeName() {
            return "a whole number";
        }
    }

    /** A truth value. */
    record BooleanNode(int line, boolean value) implements Node {
        @Override
        public String typeName() {
            return "true or false";
        }
    }

    /** A number with a fraction. */
    record DecimalNode(int line, double value) implements Node {
        @Override
        public String typeName() {
            return "a fraction";
        }
    }

    /** Anything that no document of the project uses: null, a number beyond 64 bits. */
    record OtherNode(int line, String typeName) implements Node {}

    /** A named value of an object, with the line of its name. */
    record Member(int line, Node value) {}
}
