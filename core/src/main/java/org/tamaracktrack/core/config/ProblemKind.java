package org.tamaracktrack.core.config;

/** What is wrong at one place of a configuration document. */
public enum ProblemKind {
    /** A value that has to be there is not. */
    MISSING,
    /** The value is of another type, such as text for a number. */
    WRONG_TYPE,
    /** The value is of the right type and outside its limits. */
    OUT_OF_RANGE,
    /** The document has a key that no process would read. */
    UNKNOWN_KEY,
    /** The value names something that the document does not define. */
    UNKNOWN_NAME,
    /** The value is not an identifier, address or hash of the form that is asked for. */
    BAD_FORM,
    /** Two entries that have to differ are equal. */
    DUPLICATE,
    /** A parameter is used and has no value. */
    UNSET_PARAMETER,
    /** A model, alone or with an adapter, is larger than any accelerator. */
    DOES_NOT_FIT,
    /** The document, as written or with its templates expanded, is over the limits of size. */
    TOO_LARGE,
    /** The document is in a format that this release does not know. */
    UNSUPPORTED_FORMAT
}
