/**
 * Splits streams of server-sent events as far as forwarding requires it, and remembers at which
 * software version each stream began.
 */
package org.tamaracktrack.core.stream;
