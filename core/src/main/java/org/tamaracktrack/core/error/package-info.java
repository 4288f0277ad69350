/** Typed failures: every failure has a code, which also states whether the request ran. */
package org.tamaracktrack.core.error;
