package org.tamaracktrack.core.fleet;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * Describes the model and adapter that a request needs in a target's accelerator memory. Its text
 * appears in the log and in stored records.
 *
 * @param model the model
 * @param adapter the adapter of that model; empty when the request names none
 */
public record ModelNeed(ModelId model, Optional<AdapterId> adapter) {
    private static final char ADAPTER_MARK = '/';

    /** Checks the arguments. */
    public ModelNeed {
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
    }

    /**
     * Parses the text of a need: a model, optionally followed by a slash and one of its adapters.
     *
     * @param text the text in the format of {@link #toString}
     * @return the need
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code BAD_IDENTIFIER} when
     *     a part is not a valid name
     */
    public static ModelNeed parse(String text) {
        int mark = text.indexOf(ADAPTER_MARK);
        return mark < 0
                ? new ModelNeed(ModelId.of(text), Optional.empty())
                : new ModelNeed(
                        ModelId.of(text.substring(0, mark)),
                        Optional.of(AdapterId.of(text.substring(mark + 1))));
    }

    @Override
    public String toString() {
        return adapter.map(name -> model.toString() + ADAPTER_MARK + name)
                .orElseGet(model::toString);
    }
}
