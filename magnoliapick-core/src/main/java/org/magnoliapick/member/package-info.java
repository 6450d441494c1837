/** Membership: member states, the choice of the dispatcher and the relay of store updates. */
package org.magnoliapick.member;
