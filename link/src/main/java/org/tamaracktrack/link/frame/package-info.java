/**
 * Carries messages between daemons over TCP with XNIO. A frame consists of a four-byte length and a
 * MessagePack body. Both sides authenticate each other by the shared secret before the first
 * message.
 */
package org.tamaracktrack.link.frame;
