/** Rate limits of requests. */
package org.tamaracktrack.core.rate;
