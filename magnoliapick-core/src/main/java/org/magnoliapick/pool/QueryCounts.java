package org.magnoliapick.pool;

/**
 * How queries of this instance to dispatchers ended.
 *
 * @param decidedLocally queries that this instance decided since no reply came in time
 * @param unusedGrants grants that arrived when the query was no longer pending
 */
public record QueryCounts(int decidedLocally, int unusedGrants) {
    /** No queries. */
    static final QueryCounts NONE = new QueryCounts(0, 0);

    QueryCounts withDecidedLocally(int more) {
        return new QueryCounts(decidedLocally + more, unusedGrants);
    }

    QueryCounts withUnusedGrant() {
        return new QueryCounts(decidedLocally, unusedGrants + 1);
    }

    /** Returns whether there were any. */
    public boolean isEmpty() {
        return equals(NONE);
    }
}
