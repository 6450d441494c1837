/** The administration API. */
package org.magnoliapick.admin;
