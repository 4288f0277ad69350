/** TODO package. */
package org.tamaracktrack.standins;
