package org.tamaracktrack.core.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/** Checks the size of a document tree before anything walks it recursively. */
final class DocumentLimits {
    static final int MAXIMUM_DEPTH = 32;
    static final int MAXIMUM_VALUES = 200_000;

    private DocumentLimits() {}

    private record Place(Object value, String path, int depth) {}

    // A document nested a million deep would overflow the stack of whoever walks it, and the daemon
    // with it. This walk keeps its own stack and stops at a bound, so later walks may recurse.
    static boolean holds(Object tree, ProblemCollector problems) {
        Deque<Place> open = new ArrayDeque<>();
        open.push(new Place(tree, "", 0));
        int seen = 0;
        boolean fits = true;
        while (!open.isEmpty()) {
            Place place = open.pop();
            seen++;
            if (seen > MAXIMUM_VALUES) {
                tooManyValues(problems);
                return false;
            }
            if (place.depth() > MAXIMUM_DEPTH) {
                problems.add(
                        ProblemKind.TOO_LARGE,
                        place.path(),
                        "a value nested deeper than " + MAXIMUM_DEPTH,
                        "at most " + MAXIMUM_DEPTH + " levels");
                fits = false;
            } else {
                pushChildren(open, place);
            }
        }
        return fits;
    }

    static void tooManyValues(ProblemCollector problems) {
        problems.add(
                ProblemKind.TOO_LARGE,
                "",
                "more than " + MAXIMUM_VALUES + " values",
                "at most " + MAXIMUM_VALUES + " values, templates expanded");
    }

    private static void pushChildren(Deque<Place> open, Place place) {
        int depth = place.depth() + 1;
        if (place.value() instanceof Map<?, ?> map) {
            map.forEach(
                    (key, value) ->
                            open.push(new Place(value, Values.child(place.path(), key), depth)));
        } else if (place.value() instanceof List<?> list) {
            for (int index = 0; index < list.size(); index++) {
                String path = Values.element(place.path(), index);
                open.push(new Place(list.get(index), path, depth));
            }
        }
    }
}
