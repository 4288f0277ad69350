/** TODO package. */
package org.tamaracktrack.cli;
