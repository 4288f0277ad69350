package org.tamaracktrack.core.fleet;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * What a request needs in a target's accelerator memory.
 *
 * @param model the model
 * @param adapter the adapter of that model, if the request names one
 */
public record ModelNeed(ModelId model, Optional<AdapterId> adapter) {
    private static final char ADAPTER_MARK = '/';

    /** Checks the arguments. */
    public ModelNeed {
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
    }

    /**
     * Reads the text of a need: a model, and after a slash one of its adapters.
     *
     * @param text what {@link #toString} gives
     * @return the need
     * @throws org.tamaracktrack.core.error.TamaracktrackException with {@code BAD_IDENTIFIER} when
     *     a part of it is no name
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
