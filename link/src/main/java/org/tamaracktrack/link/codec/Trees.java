package org.tamaracktrack.link.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** Reads JSON documents whose fields may be missing or of another type. */
public final class Trees {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Trees() {}

    /** Parses a document; empty when it is no JSON. */
    public static Optional<JsonNode> parse(byte[] document) {
        try {
            return Optional.ofNullable(MAPPER.readTree(document));
        } catch (IOException unreadable) {
            // The callers say which document it was, and go on with what they knew before.
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

    public static Optional<Long> whole(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isIntegralNumber() && value.canConvertToLong()
                ? Optional.of(value.longValue())
                : Optional.empty();
    }

    public static double number(JsonNode node, String field, double absent) {
        JsonNode value = node.get(field);
        return value != null && value.isNumber() ? value.doubleValue() : absent;
    }

    public static boolean flag(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isBoolean() && value.booleanValue();
    }

    /** The elements of a list; none when the field is no list. */
    public static Stream<JsonNode> elements(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isArray()
                ? StreamSupport.stream(value.spliterator(), false)
                : Stream.empty();
    }
}
