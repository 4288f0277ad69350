package org.tamaracktrack.daemon.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.link.codec.Codecs;

/** The models that an account may name, in the shape of the OpenAI list. */
final class ModelList {
    private ModelList() {}

    private record Listed(
            @JsonProperty("id") String id,
            @JsonProperty("object") String object,
            @JsonProperty("owned_by") String ownedBy) {}

    private record Shape(
            @JsonProperty("object") String object, @JsonProperty("data") List<Listed> data) {}

    static byte[] json(Configuration configuration, Configuration.ClientAccount account) {
        List<Listed> data =
                account.models().stream()
                        .filter(configuration.models()::containsKey)
                        .sorted()
                        .flatMap(model -> names(configuration, account, model))
                        .map(name -> new Listed(name, "model", account.id().value()))
                        .collect(Collectors.toList());
        return Codecs.encode(Codecs.json(), new Shape("list", data));
    }

    private static Stream<String> names(
            Configuration configuration, Configuration.ClientAccount account, ModelId model) {
        Stream<String> adapted =
                account.adapters().stream()
                        .map(configuration.adapters()::get)
                        .filter(adapter -> adapter != null && adapter.base().equals(model))
                        .map(adapter -> model + "+" + adapter.id())
                        .sorted();
        return Stream.concat(Stream.of(model.value()), adapted);
    }
}
