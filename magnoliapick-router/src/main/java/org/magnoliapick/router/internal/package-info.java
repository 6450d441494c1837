/** The inner parts of the entry instance and their wiring. */
package org.magnoliapick.router.internal;
