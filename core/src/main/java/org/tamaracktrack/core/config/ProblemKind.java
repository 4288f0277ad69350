package org.tamaracktrack.core.config;

/** The kinds of problem that a configuration document can have. */
public enum ProblemKind {
    /** A required value is missing. */
    MISSING,
    /** The value has the wrong type, such as text instead of a number. */
    WRONG_TYPE,
    /** The value has the right type but is outside its limits. */
    OUT_OF_RANGE,
    /** The document has a key that is not part of the format. */
    UNKNOWN_KEY,
    /** The value names something that the document does not define. */
    UNKNOWN_NAME,
    /** The value is not an identifier, address or hash of the required form. */
    BAD_FORM,
    /** Two entries that must differ are equal. */
    DUPLICATE,
    /** A parameter is referenced but has no value. */
    UNSET_PARAMETER,
    /** A model, alone or with an adapter, needs more memory than any accelerator has. */
    DOES_NOT_FIT,
    /** The document, as written or with its templates expanded, exceeds the size limits. */
    TOO_LARGE,
    /** The document has a format that this release does not support. */
    UNSUPPORTED_FORMAT
}
