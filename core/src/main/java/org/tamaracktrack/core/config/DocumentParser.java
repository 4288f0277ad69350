package org.tamaracktrack.core.config;

import java.util.Map;

/** Parses the text of a document into a tree of maps, lists and values. */
@FunctionalInterface
public interface DocumentParser {

    /**
     * Parses a document.
     *
     * @param document the document as JSON text
     * @return the tree
     * @throws org.tamaracktrack.core.error.TamaracktrackException when the text is not a JSON map
     */
    Map<String, Object> parse(String document);
}
