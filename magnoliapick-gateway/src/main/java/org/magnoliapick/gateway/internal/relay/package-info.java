/** Carries out what is decided on requests: attempts at upstreams and answers to callers. */
package org.magnoliapick.gateway.internal.relay;
