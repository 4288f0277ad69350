/** Retry policy, retry budget, and back-off. */
package org.tamaracktrack.core.retry;
