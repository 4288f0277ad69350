package org.tamaracktrack.core.config;

import java.util.Map;

/** Turns the text of a document into a tree. */
@FunctionalInterface
public interface DocumentParser {

    /**
     * Parses a document.
     *
     * @param document the text, JSON
     * @return the tree
     * @throws org.tamaracktrack.core.error.TamaracktrackException when the text is no such document
     */
    Map<String, Object> parse(String document);
}
