/** The thread that drives the sharing decisions. */
package org.magnoliapick.router.internal.share;
