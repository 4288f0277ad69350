package org.tamaracktrack.link.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Objects;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Encodes and decodes values as JSON, YAML or MessagePack. Decoding ignores unknown fields. */
public final class Codecs {
    private static final int MAXIMUM_DEPTH = 100;
    private static final ObjectMapper JSON =
            configured(
                    new ObjectMapper(
                            JsonMapper.builder()
                                    .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
                                    .build()
                                    .getFactory()));
    private static final ObjectMapper YAML = configured(new ObjectMapper(new YAMLFactory()));
    private static final ObjectMapper MESSAGE_PACK =
            configured(new ObjectMapper(new MessagePackFactory()));

    private Codecs() {}

    private static ObjectMapper configured(ObjectMapper mapper) {
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_DEPTH).build());
        return mapper.registerModule(new Jdk8Module())
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);
    }

    /**
     * Returns the JSON mapper.
     *
     * @return the mapper
     */
    public static ObjectMapper json() {
        return JSON;
    }

    /**
     * Returns the YAML mapper, which also reads JSON.
     *
     * @return the mapper
     */
    public static ObjectMapper yaml() {
        return YAML;
    }

    /**
     * Returns the MessagePack mapper.
     *
     * @return the mapper
     */
    public static ObjectMapper messagePack() {
        return MESSAGE_PACK;
    }

    /**
     * Encodes a value.
     *
     * @param mapper the mapper of the format
     * @param value the value
     * @return the encoded bytes
     * @throws TamaracktrackException with {@code INTERNAL} if the value can't be encoded
     */
    public static byte[] encode(ObjectMapper mapper, Object value) {
        Objects.requireNonNull(value, "value is null");
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INTERNAL,
                    "can't encode " + value.getClass().getSimpleName(),
                    failure);
        }
    }

    /**
     * Decodes a value.
     *
     * @param mapper the mapper of the format
     * @param bytes the encoded bytes
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws TamaracktrackException with {@code BAD_REQUEST} if the bytes don't encode a value of
     *     this type
     */
    public static <T> T decode(ObjectMapper mapper, byte[] bytes, Class<T> type) {
        Objects.requireNonNull(bytes, "bytes is null");
        try {
            T value = mapper.readValue(bytes, type);
            if (value == null) {
                throw TamaracktrackException.of(ErrorCode.BAD_REQUEST, "the body is null");
            }
            return value;
        } catch (IOException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_REQUEST, "not a valid " + type.getSimpleName(), failure);
        }
    }
}
