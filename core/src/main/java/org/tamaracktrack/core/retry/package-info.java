/** When an attempt may be followed by another, and how soon. */
package org.tamaracktrack.core.retry;
