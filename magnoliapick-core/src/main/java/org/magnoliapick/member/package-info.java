/** Membership: entry instances and upstreams, with their states. */
package org.magnoliapick.member;
