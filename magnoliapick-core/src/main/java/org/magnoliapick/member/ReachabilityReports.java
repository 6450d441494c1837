package org.magnoliapick.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Which instances others hear themselves, by who said so. */
final class ReachabilityReports {
    private final long mValidMillis;
    private final Map<String, MemberList> mVouchers = new HashMap<>();

    ReachabilityReports(long validMillis) {
        mValidMillis = validMillis;
    }

    /** Takes what an instance told; without members its last list still holds. */
    void heard(String voucher, List<Member> members, long nowMillis) {
        if (!members.isEmpty()) {
            Set<String> addresses =
                    members.stream().map(Member::address).collect(Collectors.toUnmodifiableSet());
            mVouchers.put(voucher, new MemberList(digest(members), addresses, nowMillis));
        } else {
            mVouchers.computeIfPresent(
                    voucher,
                    (key, before) -> new MemberList(before.digest(), before.addresses(), nowMillis));
        }
    }

    /** Returns the digest of the list that an instance told last; 0 without one. */
    long digestOf(String voucher) {
        MemberList known = mVouchers.get(voucher);
        return known == null ? 0 : known.digest();
    }

    /** Returns the addresses of all that somebody heard of late hears. */
    Set<String> vouched(long nowMillis) {
        mVouchers.values().removeIf(each -> nowMillis - each.atMillis() > mValidMillis);
        return mVouchers.values().stream()
                .flatMap(each -> each.addresses().stream())
                .collect(Collectors.toSet());
    }

    /** Returns the digest of a set of members, whatever their order. */
    static long digest(List<Member> members) {
        return members.stream().mapToLong(Member::digest).sum();
    }

    private record MemberList(long digest, Set<String> addresses, long atMillis) {}
}
