/**
 * Connections between daemons: TCP by XNIO, frames of a four-byte length and a MessagePack body.
 * Each side proves the shared secret before the first message.
 */
package org.tamaracktrack.link.frame;
