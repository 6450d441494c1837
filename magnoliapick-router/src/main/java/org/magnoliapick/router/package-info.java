/** The entry instance: callers in, answers out. */
package org.magnoliapick.router;
