/** Client accounts of the serving configuration, and the keys that authenticate their callers. */
package org.tamaracktrack.core.account;
