package org.tamaracktrack.daemon.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.link.codec.Codecs;

/** Lists the models and adapters of a client account in the format of the OpenAI model list. */
final class ModelList {
    private ModelList() {}

    private record Listed(
            @JsonProperty("id") String id,
            @JsonProperty("object") String object,
            @JsonProperty("owned_by") String ownedBy) {}

    private record Shape(
            @JsonProperty("object") String object, @JsonProperty("data") List<Listed> data) {}

    static byte[] toJson(Configuration configuration, Configuration.ClientAccount account) {
        List<Listed> data =
                account.models().stream()
                        .filter(configuration.models()::containsKey)
                        .sorted()
                        .flatMap(model -> modelNames(configuration, account, model))
                        .map(name -> new Listed(name, "model", account.id().value()))
                        .collect(Collectors.toList());
        return Codecs.encode(Codecs.json(), new Shape("list", data));
    }

    private static Stream<String> modelNames(
            Configuration configuration, Configuration.ClientAccount account, ModelId model) {
        Stream<String> adapterNames =
                account.adapters().stream()
                        .map(configuration.adapters()::get)
                        .filter(adapter -> adapter != null && adapter.base().equals(model))
                        .map(adapter -> model + "+" + adapter.id())
                        .sorted();
        return Stream.concat(Stream.of(model.value()), adapterNames);
    }
}
