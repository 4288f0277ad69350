/** Selection of the target of a request, and handling of failed attempts. */
package org.tamaracktrack.core.dispatch;
