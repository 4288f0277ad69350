/** Values that readers receive with a lag. */
package org.tamaracktrack.standins.time;
