package org.tamaracktrack.core.config;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Collects the problems of one document, so that an operator sees all of them at once. */
final class ProblemCollector {
    private final Set<Problem> problems = new LinkedHashSet<>();

    void add(ProblemKind kind, String path, String found, String allowed) {
        problems.add(new Problem(path, found, allowed, kind));
    }

    boolean isEmpty() {
        return problems.isEmpty();
    }

    List<Problem> sorted() {
        return problems.stream().sorted(Comparator.comparing(Problem::path)).toList();
    }
}
