/** The codecs: JSON, YAML and MessagePack by Jackson, set up once. */
package org.tamaracktrack.link.codec;
