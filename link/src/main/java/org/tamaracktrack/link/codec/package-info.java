/** Encodes and decodes JSON, YAML and MessagePack with Jackson. */
package org.tamaracktrack.link.codec;
