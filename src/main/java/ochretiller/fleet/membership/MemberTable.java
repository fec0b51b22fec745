package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * All members known to this server, itself excluded, with digests of the live ones.
 *
 * <p>Two views are compared by their digests. A digest is the exclusive or of one hash per live
 * member, so it is updated incrementally and does not depend on order. Members are divided into
 * {@link MembershipMessage#DIGEST_BUCKETS} buckets by the hash of their incarnation; each bucket
 * has a digest, so that only buckets that differ need to be sent. The hash is XXH3 (64 bits, seed
 * 0) and part of the wire format (docs/fleet-wire.md).
 */
final class MemberTable {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Sorted by incarnation, so that probe rounds start from a deterministic order. */
    private final Map<Long, MemberRecord> byIncarnation = new TreeMap<>();

    private final Set<MemberRecord> suspects = new LinkedHashSet<>();
    private final Set<MemberRecord> unresponsiveMembers = new LinkedHashSet<>();

    /** Members that are unresponsive or have left; the first has been departed the longest. */
    private final Set<MemberRecord> departedMembers = new LinkedHashSet<>();

    private final long[] bucketDigests = new long[MembershipMessage.DIGEST_BUCKETS];
    private long digest;
    private int liveCount;

    /** The bucket that an incarnation belongs to. */
    static int bucketOf(long incarnation) {
        return (int) (HASH.hashLong(incarnation) & (MembershipMessage.DIGEST_BUCKETS - 1));
    }

    /**
     * The hash of a member in the digests; 0 if it is not live. A suspect has the same hash as an
     * alive member, so that temporary suspicions do not make views differ.
     */
    private static long digestTerm(Member member) {
        if (!member.state().isLive()) {
            return 0;
        }
        long joining = member.state() == MemberState.JOINING ? 1 : 0;
        return HASH.hashLongs(new long[] {member.incarnation(), member.stateVersion(), joining});
    }

    Optional<MemberRecord> find(long incarnation) {
        return Optional.ofNullable(byIncarnation.get(incarnation));
    }

    /** The live member with this name; if there are several, the lowest incarnation. */
    Optional<MemberRecord> findLive(String name) {
        for (MemberRecord record : byIncarnation.values()) {
            if (record.isLive() && record.member().id().name().equals(name)) {
                return Optional.of(record);
            }
        }
        return Optional.empty();
    }

    /** Whether a live member serves callers at this address. */
    boolean hasLiveMemberServingAt(PeerAddress address) {
        Optional<PeerAddress> expected = Optional.of(address);
        for (MemberRecord record : byIncarnation.values()) {
            if (record.isLive() && record.member().serviceAddress().equals(expected)) {
                return true;
            }
        }
        return false;
    }

    boolean contains(long incarnation) {
        return byIncarnation.containsKey(incarnation);
    }

    /** Adds a member; its incarnation must not be in the table yet. */
    MemberRecord add(Member member, Duration now) {
        MemberRecord added = new MemberRecord(member, now);
        byIncarnation.put(member.incarnation(), added);
        includeInDigests(member);
        updateIndexes(added);
        return added;
    }

    /** Replaces the member of a record and updates digests and indexes. */
    void update(MemberRecord record, Member next, Duration now) {
        excludeFromDigests(record.member());
        record.update(next, now);
        includeInDigests(next);
        updateIndexes(record);
    }

    /** Removes a member; does nothing if it is not in the table. */
    void remove(MemberRecord record) {
        if (byIncarnation.remove(record.incarnation()) == null) {
            return;
        }
        excludeFromDigests(record.member());
        suspects.remove(record);
        unresponsiveMembers.remove(record);
        departedMembers.remove(record);
    }

    /** Removes the member that departed first; returns false if none has departed. */
    boolean removeLongestDeparted() {
        Iterator<MemberRecord> oldestFirst = departedMembers.iterator();
        if (!oldestFirst.hasNext()) {
            return false;
        }
        remove(oldestFirst.next());
        return true;
    }

    /** Digest of the whole view, this server included. */
    long digest(Member self) {
        return digest ^ digestTerm(self);
    }

    /** Digests of all buckets in order, this server included. */
    List<Long> bucketDigests(Member self) {
        List<Long> digests = new ArrayList<>(bucketDigests.length);
        for (long each : bucketDigests) {
            digests.add(each);
        }
        int own = bucketOf(self.incarnation());
        digests.set(own, digests.get(own) ^ digestTerm(self));
        return digests;
    }

    /** The number of live members, this server excluded. */
    int liveCount() {
        return liveCount;
    }

    /** The number of members, departed ones included, this server excluded. */
    int size() {
        return byIncarnation.size();
    }

    /** A view of all records by ascending incarnation. */
    Collection<MemberRecord> all() {
        return byIncarnation.values();
    }

    Set<MemberRecord> suspects() {
        return suspects;
    }

    Set<MemberRecord> unresponsiveMembers() {
        return unresponsiveMembers;
    }

    Set<MemberRecord> departedMembers() {
        return departedMembers;
    }

    /** Snapshots of all members, in a new list that the caller may modify. */
    List<MemberSnapshot> snapshots(PauseExcludingClock clock) {
        List<MemberSnapshot> all = new ArrayList<>();
        for (MemberRecord record : byIncarnation.values()) {
            Duration timeInState = clock.now().minus(record.stateSince());
            all.add(new MemberSnapshot(record.member(), timeInState, false));
        }
        return all;
    }

    /** Appends the state of all members as text, with times relative to now. */
    void describe(StringBuilder text, PauseExcludingClock clock) {
        for (MemberRecord record : byIncarnation.values()) {
            text.append('|').append(record.incarnation());
            text.append(record.state()).append(record.stateVersion());
            if (record.isSuspect()) {
                text.append(record.accusers())
                        .append(clock.nanosSince(record.stateSince()))
                        .append(record.hasOwnProbeFailed())
                        .append(record.isReportedUnresponsive());
            }
            if (record.isLocalOnly()) {
                text.append('u');
            }
        }
    }

    private void includeInDigests(Member member) {
        toggleInDigests(member);
        if (member.state().isLive()) {
            liveCount++;
        }
    }

    private void excludeFromDigests(Member member) {
        toggleInDigests(member);
        if (member.state().isLive()) {
            liveCount--;
        }
    }

    private void toggleInDigests(Member member) {
        long term = digestTerm(member);
        bucketDigests[bucketOf(member.incarnation())] ^= term;
        digest ^= term;
    }

    private void updateIndexes(MemberRecord record) {
        setContained(suspects, record, record.isSuspect());
        setContained(unresponsiveMembers, record, record.isUnresponsive());
        setContained(departedMembers, record, !record.isLive());
    }

    private static void setContained(
            Set<MemberRecord> set, MemberRecord record, boolean contained) {
        if (contained) {
            set.add(record);
        } else {
            set.remove(record);
        }
    }
}
