/** Traffic configuration of the pass-through path: routes, services, workspaces and their keys. */
package org.magnoliapick.route;
