/** Small processes that take the place of the outside systems in tests and on one machine. */
package org.tamaracktrack.standins;
