/** Sends requests as a caller would, and checks that answers are whole and the right ones. */
package org.tamaracktrack.bench.caller;
