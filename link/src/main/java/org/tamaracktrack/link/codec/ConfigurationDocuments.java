package org.tamaracktrack.link.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Parses configuration documents and serializes them to the form in which they are published. */
public final class ConfigurationDocuments {
    /** The maximum size of a document, in bytes. */
    public static final int MAXIMUM_BYTES = 1 << 20;

    private ConfigurationDocuments() {}

    /**
     * Parses a document in JSON.
     *
     * @param document the text of the document
     * @return the values by key
     * @throws TamaracktrackException with {@code INVALID_CONFIGURATION} if the document is not a
     *     JSON object, contains a duplicate key or is too large
     */
    public static Map<String, Object> parseJson(String document) {
        return parse(Codecs.json(), document);
    }

    /**
     * Parses a document in YAML, which includes JSON.
     *
     * @param document the text of the document
     * @return the values by key
     * @throws TamaracktrackException with {@code INVALID_CONFIGURATION} if the document is not a
     *     YAML map, contains a duplicate key or is too large
     */
    public static Map<String, Object> parseYaml(String document) {
        return parse(Codecs.yaml(), document);
    }

    /**
     * Serializes a document as JSON with sorted keys, so that equal documents have equal texts.
     *
     * @param tree the values by key
     * @return the JSON text
     */
    public static String canonicalJson(Map<String, Object> tree) {
        return new String(Codecs.encode(Codecs.json(), tree), StandardCharsets.UTF_8);
    }

    // By default the parser silently keeps the last of several values of a key. An operator might
    // then take the first one to be in force, so duplicates are rejected.
    private static Map<String, Object> parse(ObjectMapper mapper, String document) {
        Objects.requireNonNull(document, "document is null");
        if (document.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_BYTES) {
            throw failure("the document is larger than " + MAXIMUM_BYTES + " bytes", null);
        }
        try {
            Map<String, Object> tree =
                    mapper.readerFor(new TypeReference<Map<String, Object>>() {})
                            .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                            .readValue(document);
            if (tree == null) {
                throw failure("the document is empty", null);
            }
            return tree;
        } catch (IOException failure) {
            throw failure("the document can't be parsed: " + firstLine(failure), failure);
        }
    }

    private static String firstLine(Exception failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse("no details");
    }

    private static TamaracktrackException failure(String message, Exception cause) {
        return TamaracktrackException.of(ErrorCode.INVALID_CONFIGURATION, message, cause);
    }
}
