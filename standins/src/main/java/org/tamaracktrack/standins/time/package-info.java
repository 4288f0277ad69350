/** Values that are seen late. */
package org.tamaracktrack.standins.time;
