/** Messages between this entry instance and the others. */
package org.magnoliapick.router.internal.peer;
