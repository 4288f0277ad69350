package org.tamaracktrack.cli.output;

/** How results are written. */
public enum OutputFormat {
    TABLE,
    JSON,
    CSV
}
