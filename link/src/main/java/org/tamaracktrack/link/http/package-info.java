/** HTTP calls to outside systems, by Undertow's client. */
package org.tamaracktrack.link.http;
