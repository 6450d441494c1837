/** Traffic configuration of the relay path: routes, services, workspaces and their API keys. */
package org.magnoliapick.route;
