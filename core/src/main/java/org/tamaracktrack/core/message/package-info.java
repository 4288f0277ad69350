/**
 * The messages between an entry daemon and a target daemon. A frame on the wire is a length, a
 * MessagePack body and nothing else; the body names its type in the field {@code t}.
 */
package org.tamaracktrack.core.message;
