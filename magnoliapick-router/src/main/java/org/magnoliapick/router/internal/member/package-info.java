/** The view of the fleet: instance list and heartbeats. */
package org.magnoliapick.router.internal.member;
