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
 * All members that this server knows, itself excluded, with digests of those that are live.
 *
 * <p>Two views are compared by digests: a digest is the exclusive or of one hash for each live
 * member, so it is maintained with each change and does not depend on order. The members fall into
 * {@link MembershipMessage#DIGEST_BUCKETS} buckets by the hash of their incarnation, each with a
 * digest of its own, so that only buckets that differ need to be sent. The hash is XXH3 (64 bits,
 * seed 0) and part of the wire format (docs/fleet-wire.md).
 */
final class MemberTable {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /**
     * By incarnation: the order of the map decides the order of probes before they are shuffled.
     */
    private final Map<Long, MemberRecord> byIncarnation = new TreeMap<>();

    private final Set<MemberRecord> suspects = new LinkedHashSet<>();
    private final Set<MemberRecord> unresponsive = new LinkedHashSet<>();

    /** Unresponsive members and those that left, the longest departed first. */
    private final Set<MemberRecord> departed = new LinkedHashSet<>();

    private final long[] bucketDigests = new long[MembershipMessage.DIGEST_BUCKETS];
    private long digest;
    private int liveCount;

    /** The bucket that an incarnation belongs to. */
    static int bucketOf(long incarnation) {
        return (int) (HASH.hashLong(incarnation) & (MembershipMessage.DIGEST_BUCKETS - 1));
    }

    /**
     * The hash by which a member counts in a digest; 0 if it is not live. A suspect counts like a
     * member that is alive, so that views differ by membership alone and not by passing doubts.
     */
    private static long digestTerm(Member member) {
        if (!member.state().isLive()) {
            return 0;
        }
        long joining = member.state() == MemberState.JOINING ? 1 : 0;
        return HASH.hashLongs(new long[] {member.incarnation(), member.stateVersion(), joining});
    }

    /** The record of an incarnation, if it is known. */
    Optional<MemberRecord> find(long incarnation) {
        return Optional.ofNullable(byIncarnation.get(incarnation));
    }

    /** The live member with this name; of several the one with the lowest incarnation. */
    Optional<MemberRecord> findLive(String name) {
        for (MemberRecord known : byIncarnation.values()) {
            if (known.isLive() && known.member().id().name().equals(name)) {
                return Optional.of(known);
            }
        }
        return Optional.empty();
    }

    /** Whether a live member serves callers at this address. */
    boolean anyLiveServesAt(PeerAddress address) {
        Optional<PeerAddress> wanted = Optional.of(address);
        for (MemberRecord known : byIncarnation.values()) {
            if (known.isLive() && known.member().serviceAddress().equals(wanted)) {
                return true;
            }
        }
        return false;
    }

    boolean contains(long incarnation) {
        return byIncarnation.containsKey(incarnation);
    }

    /** Adds a member that is not known yet. */
    MemberRecord add(Member member, Duration now) {
        MemberRecord added = new MemberRecord(member, now);
        byIncarnation.put(member.incarnation(), added);
        includeInDigests(member);
        updateIndexes(added);
        return added;
    }

    /** Replaces what a known member says of itself, or its state. */
    void update(MemberRecord known, Member next, Duration now) {
        excludeFromDigests(known.member());
        known.update(next, now);
        includeInDigests(next);
        updateIndexes(known);
    }

    /** Removes a member; does nothing if it is not there. */
    void remove(MemberRecord known) {
        if (byIncarnation.remove(known.incarnation()) == null) {
            return;
        }
        excludeFromDigests(known.member());
        suspects.remove(known);
        unresponsive.remove(known);
        departed.remove(known);
    }

    /** Makes room for a newcomer; returns false if no member is departed. */
    boolean removeLongestDeparted() {
        Iterator<MemberRecord> oldestFirst = departed.iterator();
        if (!oldestFirst.hasNext()) {
            return false;
        }
        remove(oldestFirst.next());
        return true;
    }

    /** Digest of the whole view, the record of this server itself included. */
    long digest(Member self) {
        return digest ^ digestTerm(self);
    }

    /** Digests of the buckets, the record of this server itself included. */
    List<Long> bucketDigests(Member self) {
        List<Long> digests = new ArrayList<>(bucketDigests.length);
        for (long each : bucketDigests) {
            digests.add(each);
        }
        int own = bucketOf(self.incarnation());
        digests.set(own, digests.get(own) ^ digestTerm(self));
        return digests;
    }

    /** Other members that are live. */
    int liveCount() {
        return liveCount;
    }

    /** All other members, departed ones included. */
    int size() {
        return byIncarnation.size();
    }

    /** All records by ascending incarnation. */
    Collection<MemberRecord> all() {
        return byIncarnation.values();
    }

    Set<MemberRecord> suspects() {
        return suspects;
    }

    Set<MemberRecord> unresponsive() {
        return unresponsive;
    }

    Set<MemberRecord> departed() {
        return departed;
    }

    /** All members with how long they have been in their states; a list of the caller's own. */
    List<MemberSnapshot> snapshots(AwakeClock clock) {
        List<MemberSnapshot> all = new ArrayList<>();
        for (MemberRecord known : byIncarnation.values()) {
            Duration timeInState = clock.now().minus(known.stateSince());
            all.add(new MemberSnapshot(known.member(), timeInState, false));
        }
        return all;
    }

    /** Appends all members with what is thought of them, with times relative to now. */
    void describe(StringBuilder text, AwakeClock clock) {
        for (MemberRecord known : byIncarnation.values()) {
            text.append('|').append(known.incarnation());
            text.append(known.state()).append(known.stateVersion());
            if (known.isSuspect()) {
                text.append(known.accusers())
                        .append(clock.nanosSince(known.stateSince()))
                        .append(known.ownProbeFailed())
                        .append(known.isCondemnedByPeer());
            }
            if (known.isLocalOnly()) {
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

    private void updateIndexes(MemberRecord known) {
        setContained(suspects, known, known.isSuspect());
        setContained(unresponsive, known, known.isUnresponsive());
        setContained(departed, known, !known.isLive());
    }

    private static void setContained(Set<MemberRecord> set, MemberRecord known, boolean contained) {
        if (contained) {
            set.add(known);
        } else {
            set.remove(known);
        }
    }
}
