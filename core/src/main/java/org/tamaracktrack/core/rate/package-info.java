/** Limits of rate. */
package org.tamaracktrack.core.rate;
