/** Typed failures: every failure has a code, and says whether the request ran. */
package org.tamaracktrack.core.error;
