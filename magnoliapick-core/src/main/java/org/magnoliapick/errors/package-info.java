/** The closed list of error kinds and the exceptions that carry them. */
package org.magnoliapick.errors;
