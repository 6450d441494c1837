/** Rate limits that upstreams name in their responses, and the token buckets that enforce them. */
package org.magnoliapick.limit;
