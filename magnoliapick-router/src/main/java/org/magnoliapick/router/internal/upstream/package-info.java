/** Attempts at upstreams and the reports of their load. */
package org.magnoliapick.router.internal.upstream;
