package org.magnoliapick.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The instances that other instances report as directly reachable, by reporter. */
final class ReachabilityReports {
    private final long mValidMillis;
    private final Map<String, MemberList> mLists = new HashMap<>();

    ReachabilityReports(long validMillis) {
        mValidMillis = validMillis;
    }

    /**
     * Applies the members that an instance reported. An empty list means that the report carried
     * none; the reporter's last list then remains and is valid for longer.
     */
    void update(String reporter, List<Member> members, long nowMillis) {
        if (!members.isEmpty()) {
            Set<String> addresses =
                    members.stream().map(Member::address).collect(Collectors.toUnmodifiableSet());
            mLists.put(reporter, new MemberList(digest(members), addresses, nowMillis));
        } else {
            mLists.computeIfPresent(
                    reporter,
                    (key, before) ->
                            new MemberList(before.digest(), before.addresses(), nowMillis));
        }
    }

    /**
     * Returns the digest of the last list that an instance reported, by which that instance detects
     * that it need not send the list again; 0 if there is none.
     */
    long digestFrom(String reporter) {
        MemberList known = mLists.get(reporter);
        return known == null ? 0 : known.digest();
    }

    /** Returns the addresses of all instances in the lists that are still valid. */
    Set<String> reachable(long nowMillis) {
        mLists.values().removeIf(each -> nowMillis - each.atMillis() > mValidMillis);
        return mLists.values().stream()
                .flatMap(each -> each.addresses().stream())
                .collect(Collectors.toSet());
    }

    /** Returns the digest of a set of members; their order does not matter. */
    static long digest(List<Member> members) {
        return members.stream().mapToLong(Member::digest).sum();
    }

    private record MemberList(long digest, Set<String> addresses, long atMillis) {}
}
