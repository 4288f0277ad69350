/** Splits streams of server-sent events as far as forwarding requires it. */
package org.tamaracktrack.core.stream;
