/** Orders to the engines of the pools that fall to this instance. */
package org.magnoliapick.router.internal.order;
