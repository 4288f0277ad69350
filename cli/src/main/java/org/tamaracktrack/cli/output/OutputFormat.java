package org.tamaracktrack.cli.output;

/** The formats of results. */
public enum OutputFormat {
    TABLE,
    JSON,
    CSV
}
