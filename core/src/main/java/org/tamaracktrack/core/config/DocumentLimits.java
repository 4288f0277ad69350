package org.tamaracktrack.core.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/** Checks the depth and size of a document tree before it is traversed recursively. */
final class DocumentLimits {
    static final int MAXIMUM_DEPTH = 32;
    static final int MAXIMUM_VALUES = 200_000;

    private DocumentLimits() {}

    private record Node(Object value, String path, int depth) {}

    // Recursing into a document nested a million levels deep would overflow the stack and end the
    // daemon. This traversal uses an explicit stack and stops at a limit, so later ones may
    // recurse.
    static boolean check(Object tree, ProblemCollector problems) {
        Deque<Node> pending = new ArrayDeque<>();
        pending.push(new Node(tree, "", 0));
        int visitedValues = 0;
        boolean fits = true;
        while (!pending.isEmpty()) {
            Node node = pending.pop();
            visitedValues++;
            if (visitedValues > MAXIMUM_VALUES) {
                reportTooManyValues(problems);
                return false;
            }
            if (node.depth() > MAXIMUM_DEPTH) {
                problems.add(
                        ProblemKind.TOO_LARGE,
                        node.path(),
                        "a value nested deeper than " + MAXIMUM_DEPTH,
                        "at most " + MAXIMUM_DEPTH + " levels");
                fits = false;
            } else {
                pushChildren(pending, node);
            }
        }
        return fits;
    }

    static void reportTooManyValues(ProblemCollector problems) {
        problems.add(
                ProblemKind.TOO_LARGE,
                "",
                "more than " + MAXIMUM_VALUES + " values",
                "at most " + MAXIMUM_VALUES + " values, templates expanded");
    }

    private static void pushChildren(Deque<Node> pending, Node parent) {
        int depth = parent.depth() + 1;
        if (parent.value() instanceof Map<?, ?> map) {
            map.forEach(
                    (key, value) ->
                            pending.push(
                                    new Node(
                                            value,
                                            DocumentValues.childPath(parent.path(), key),
                                            depth)));
        } else if (parent.value() instanceof List<?> list) {
            for (int index = 0; index < list.size(); index++) {
                String path = DocumentValues.elementPath(parent.path(), index);
                pending.push(new Node(list.get(index), path, depth));
            }
        }
    }
}
