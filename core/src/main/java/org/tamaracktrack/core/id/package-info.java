/** Value types for the names and numbers that identify things across processes. */
package org.tamaracktrack.core.id;
