/** The closed set of error kinds and the outcomes that they report to callers. */
package org.magnoliapick.errors;
