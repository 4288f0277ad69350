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

/** Parses configuration documents, and writes them in the form in which they are published. */
public final class Documents {
    /** The largest document that is read, in bytes. */
    public static final int MAXIMUM_BYTES = 1 << 20;

    private Documents() {}

    /**
     * Parses JSON.
     *
     * @param document the text
     * @return the tree
     * @throws TamaracktrackException with {@code INVALID_CONFIGURATION} when it is no JSON map, has
     *     a key twice or is too large
     */
    public static Map<String, Object> parseJson(String document) {
        return parse(Codecs.json(), document);
    }

    /**
     * Parses YAML, of which JSON is a part.
     *
     * @param document the text
     * @return the tree
     * @throws TamaracktrackException with {@code INVALID_CONFIGURATION} when it is no YAML map, has
     *     a key twice or is too large
     */
    public static Map<String, Object> parseYaml(String document) {
        return parse(Codecs.yaml(), document);
    }

    /**
     * Writes a document as JSON with its keys in order, so that equal documents are equal texts.
     *
     * @param tree the document
     * @return the text
     */
    public static String canonicalJson(Map<String, Object> tree) {
        return new String(Codecs.encode(Codecs.json(), tree), StandardCharsets.UTF_8);
    }

    // Of a key that stands twice the parser would keep the last without a word, and the operator
    // would believe the first to be in force.
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
        } catch (IOException broken) {
            throw failure("the document can't be parsed: " + firstLine(broken), broken);
        }
    }

    private static String firstLine(Exception broken) {
        return String.valueOf(broken.getMessage()).lines().findFirst().orElse("no details");
    }

    private static TamaracktrackException failure(String message, Exception cause) {
        return TamaracktrackException.of(ErrorCode.INVALID_CONFIGURATION, message, cause);
    }
}
