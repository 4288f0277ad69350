package org.tamaracktrack.core.copies;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;

/**
 * What all engines together hold or will hold, and have at hand.
 *
 * @param copies the engines that hold each model or will
 * @param places their data centres
 * @param atHand models of which some engine can load a copy without the weight store
 */
record CopyCounts(
        Map<ModelId, List<TargetIncarnation>> copies,
        Map<ModelId, Set<DataCentreId>> places,
        Set<ModelId> atHand) {

    static CopyCounts of(Map<TargetIncarnation, EngineBook> engines) {
        CopyCounts counts = new CopyCounts(new HashMap<>(), new HashMap<>(), new HashSet<>());
        engines.forEach(counts::count);
        return counts;
    }

    private void count(TargetIncarnation engine, EngineBook book) {
        book.held().keySet().stream()
                .filter(model -> book.going().filter(model::equals).isEmpty())
                .forEach(model -> count(engine, book, model));
        book.coming()
                .filter(model -> !book.held().containsKey(model))
                .ifPresent(model -> count(engine, book, model));
        atHand.addAll(book.atHand());
    }

    private void count(TargetIncarnation engine, EngineBook book, ModelId model) {
        copies.computeIfAbsent(model, name -> new ArrayList<>()).add(engine);
        places.computeIfAbsent(model, name -> new HashSet<>()).add(book.dataCentre());
    }
}
