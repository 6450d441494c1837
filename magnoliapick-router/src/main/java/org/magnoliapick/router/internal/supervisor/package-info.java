/** The supervisor tree: threads that are started again after a failure. */
package org.magnoliapick.router.internal.supervisor;
