package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * All members but this server itself, with digests of what is alive; the digests grow with each
 * change and are never made anew.
 */
final class MemberTable {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final Map<Long, MemberRecord> all = new TreeMap<>();
    private final long[] digests = new long[MembershipMessage.DIGEST_BUCKETS];
    private long digest;
    private int live;
    private final Set<MemberRecord> suspects = new LinkedHashSet<>();
    private final Set<MemberRecord> silent = new LinkedHashSet<>();

    /** Silent ones and those that left, the oldest first. */
    private final Set<MemberRecord> gone = new LinkedHashSet<>();

    /** Which part of a view a start belongs to. */
    static int bucket(long start) {
        return (int) (HASH.hashLong(start) & (MembershipMessage.DIGEST_BUCKETS - 1));
    }

    /**
     * A member as it counts in a digest: alive with its number, whoever suspects it; one that is
     * gone does not count.
     */
    private static long mark(Member member) {
        if (!member.state().isLive()) {
            return 0;
        }
        return HASH.hashLongs(
                new long[] {
                    member.incarnation(),
                    member.stateVersion(),
                    member.state() == MemberState.JOINING ? 1 : 0
                });
    }

    private void count(Member member, int sign) {
        long mark = mark(member);
        digests[bucket(member.incarnation())] ^= mark;
        digest ^= mark;
        if (member.state().isLive()) {
            live += sign;
        }
    }

    MemberRecord get(long start) {
        return all.get(start);
    }

    MemberRecord add(Member member, Duration now) {
        MemberRecord known = new MemberRecord(member, now);
        all.put(member.incarnation(), known);
        count(member, 1);
        sort(known);
        return known;
    }

    void become(MemberRecord known, Member next, Duration now) {
        count(known.member, -1);
        if (known.member.state() != next.state()) {
            known.since = now;
        }
        known.member = next;
        count(next, 1);
        sort(known);
    }

    private void sort(MemberRecord known) {
        MemberState state = known.member.state();
        put(suspects, known, state == MemberState.SUSPECT);
        put(silent, known, state == MemberState.UNRESPONSIVE);
        put(gone, known, !state.isLive());
    }

    private static void put(Set<MemberRecord> set, MemberRecord known, boolean in) {
        if (in) {
            set.add(known);
        } else {
            set.remove(known);
        }
    }

    void remove(MemberRecord known) {
        if (all.remove(known.member.incarnation()) == null) {
            return;
        }
        count(known.member, -1);
        suspects.remove(known);
        silent.remove(known);
        gone.remove(known);
    }

    /** Makes room for a newcomer, where anybody is gone. */
    boolean dropOldestGone() {
        if (gone.isEmpty()) {
            return false;
        }
        remove(gone.iterator().next());
        return true;
    }

    /** Digest of the whole view, this server's own record among it. */
    long digest(Member self) {
        return digest ^ mark(self);
    }

    List<Long> digests(Member self) {
        List<Long> told = new ArrayList<>(digests.length);
        for (long each : digests) {
            told.add(each);
        }
        int mine = bucket(self.incarnation());
        told.set(mine, told.get(mine) ^ mark(self));
        return told;
    }

    /** Others that are alive. */
    int live() {
        return live;
    }

    int size() {
        return all.size();
    }

    Collection<MemberRecord> all() {
        return all.values();
    }

    Set<MemberRecord> suspects() {
        return suspects;
    }

    Set<MemberRecord> silent() {
        return silent;
    }

    Set<MemberRecord> gone() {
        return gone;
    }
}
