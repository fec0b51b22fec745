package ochretiller.fleet.members;

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
final class Table {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final Map<Long, Known> all = new TreeMap<>();
    private final long[] digests = new long[Message.BUCKETS];
    private long digest;
    private int live;
    private final Set<Known> suspects = new LinkedHashSet<>();
    private final Set<Known> silent = new LinkedHashSet<>();

    /** Silent ones and those that left, the oldest first. */
    private final Set<Known> gone = new LinkedHashSet<>();

    /** Which part of a view a start belongs to. */
    static int bucket(long start) {
        return (int) (HASH.hashLong(start) & (Message.BUCKETS - 1));
    }

    /**
     * A member as it counts in a digest: alive with its number, whoever suspects it; one that is
     * gone does not count.
     */
    private static long mark(Member member) {
        if (!member.state().live()) {
            return 0;
        }
        return HASH.hashLongs(
                new long[] {
                    member.start(), member.number(), member.state() == State.JOINING ? 1 : 0
                });
    }

    private void count(Member member, int sign) {
        long mark = mark(member);
        digests[bucket(member.start())] ^= mark;
        digest ^= mark;
        if (member.state().live()) {
            live += sign;
        }
    }

    Known get(long start) {
        return all.get(start);
    }

    Known add(Member member, Duration now) {
        Known known = new Known(member, now);
        all.put(member.start(), known);
        count(member, 1);
        sort(known);
        return known;
    }

    void become(Known known, Member next, Duration now) {
        count(known.member, -1);
        if (known.member.state() != next.state()) {
            known.since = now;
        }
        known.member = next;
        count(next, 1);
        sort(known);
    }

    private void sort(Known known) {
        State state = known.member.state();
        put(suspects, known, state == State.SUSPECT);
        put(silent, known, state == State.SILENT);
        put(gone, known, !state.live());
    }

    private static void put(Set<Known> set, Known known, boolean in) {
        if (in) {
            set.add(known);
        } else {
            set.remove(known);
        }
    }

    void remove(Known known) {
        if (all.remove(known.member.start()) == null) {
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
        int mine = bucket(self.start());
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

    Collection<Known> all() {
        return all.values();
    }

    Set<Known> suspects() {
        return suspects;
    }

    Set<Known> silent() {
        return silent;
    }

    Set<Known> gone() {
        return gone;
    }
}
