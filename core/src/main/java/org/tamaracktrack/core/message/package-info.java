/**
 * The messages between daemons. A frame on the wire consists of a length and a MessagePack body,
 * whose field {@code t} names the message type.
 */
package org.tamaracktrack.core.message;
