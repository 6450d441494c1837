/** The resources of the administration API. */
package org.magnoliapick.admin.internal;
