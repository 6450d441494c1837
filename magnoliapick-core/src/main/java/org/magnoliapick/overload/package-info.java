/** Overload of an instance: which requests are admitted, and when the instance is not ready. */
package org.magnoliapick.overload;
