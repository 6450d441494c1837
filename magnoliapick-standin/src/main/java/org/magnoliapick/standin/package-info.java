/** Stand-ins for the platform's services and the upstreams. */
package org.magnoliapick.standin;
