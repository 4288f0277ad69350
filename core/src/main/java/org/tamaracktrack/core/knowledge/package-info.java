/** How old what a daemon knows of the store is, and whether it may still act on it. */
package org.tamaracktrack.core.knowledge;
