/** Streams of events, as far as passing them on needs to understand them. */
package org.tamaracktrack.core.stream;
