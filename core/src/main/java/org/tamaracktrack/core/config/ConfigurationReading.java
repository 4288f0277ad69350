package org.tamaracktrack.core.config;

import java.util.List;
import java.util.Objects;

/** The result of reading a document with {@link ConfigurationReader}. */
public sealed interface ConfigurationReading {

    /**
     * The document is valid.
     *
     * @param configuration the document with its templates expanded
     * @param warnings the requirements that it cannot satisfy
     */
    record Accepted(Configuration configuration, List<Warning> warnings)
            implements ConfigurationReading {

        /** Copies the list. */
        public Accepted {
            Objects.requireNonNull(configuration, "configuration is null");
            warnings = List.copyOf(warnings);
        }
    }

    /**
     * The document is not valid.
     *
     * @param problems every problem found, in the order of their paths
     */
    record Rejected(List<Problem> problems) implements ConfigurationReading {

        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
