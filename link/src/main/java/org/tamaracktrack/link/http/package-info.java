/** Makes HTTP calls to engines and platform services with Undertow's client. */
package org.tamaracktrack.link.http;
