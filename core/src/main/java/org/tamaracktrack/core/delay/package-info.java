/** How late this process's own threads run what is due. */
package org.tamaracktrack.core.delay;
