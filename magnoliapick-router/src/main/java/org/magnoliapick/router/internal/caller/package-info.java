/** What callers see: HTTP resources, requests in progress and their answers. */
package org.magnoliapick.router.internal.caller;
