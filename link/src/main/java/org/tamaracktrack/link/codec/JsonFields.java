package org.tamaracktrack.link.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** Reads fields of JSON documents that may be missing or have another type than expected. */
public final class JsonFields {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonFields() {}

    /** Parses a document. Returns empty if it is not valid JSON. */
    public static Optional<JsonNode> parse(byte[] document) {
        try {
            return Optional.ofNullable(MAPPER.readTree(document));
        } catch (IOException unreadable) {
            // The callers log which document it was and keep the state that they had before.
            return Optional.empty();
        }
    }

    public static byte[] write(Object document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    public static Optional<String> text(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isTextual()
                ? Optional.of(value.textValue())
                : Optional.empty();
    }

    public static Optional<Long> integer(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isIntegralNumber() && value.canConvertToLong()
                ? Optional.of(value.longValue())
                : Optional.empty();
    }

    public static double number(JsonNode node, String field, double defaultValue) {
        JsonNode value = node.get(field);
        return value != null && value.isNumber() ? value.doubleValue() : defaultValue;
    }

    public static boolean flag(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isBoolean() && value.booleanValue();
    }

    /** Returns the elements of an array; none if the field is not an array. */
    public static Stream<JsonNode> elements(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isArray()
                ? StreamSupport.stream(value.spliterator(), false)
                : Stream.empty();
    }
}
