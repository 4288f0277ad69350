/** What both roles share: the control thread, the log follower and the process's parts. */
package org.tamaracktrack.daemon.runtime;
