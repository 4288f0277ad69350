/** TODO package. */
package org.tamaracktrack.bench;
