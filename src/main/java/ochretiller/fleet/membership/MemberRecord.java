package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One member in the {@link MemberTable}: what it says of itself, and what this server thinks of it
 * beside that.
 */
final class MemberRecord {
    /** Accusers are counted up to one more than the confirmations that a suspicion needs. */
    private static final int MAX_ACCUSERS = ProtocolTiming.MAX_CONFIRMATIONS + 1;

    private Member member;
    private Duration stateSince;
    private final Set<Long> accusers = new LinkedHashSet<>();
    private boolean ownProbeFailed;
    private boolean localOnly;
    private boolean condemnedByPeer;

    MemberRecord(Member member, Duration stateSince) {
        this.member = member;
        this.stateSince = stateSince;
    }

    Member member() {
        return member;
    }

    long incarnation() {
        return member.incarnation();
    }

    MemberState state() {
        return member.state();
    }

    long stateVersion() {
        return member.stateVersion();
    }

    boolean isLive() {
        return member.state().isLive();
    }

    boolean isSuspect() {
        return member.state() == MemberState.SUSPECT;
    }

    boolean isUnresponsive() {
        return member.state() == MemberState.UNRESPONSIVE;
    }

    /** Since when it is in its state, on the awake clock. */
    Duration stateSince() {
        return stateSince;
    }

    /** Takes another state or state version; called by {@link MemberTable} only. */
    void update(Member next, Duration now) {
        if (member.state() != next.state()) {
            stateSince = now;
        }
        member = next;
    }

    /** Begins a suspicion, with nobody's accusation yet. */
    void startSuspicion(Duration now, boolean keepLocal) {
        stateSince = now;
        accusers.clear();
        ownProbeFailed = false;
        condemnedByPeer = false;
        localOnly = keepLocal;
    }

    /** Drops all that was held against it. */
    void clearSuspicion() {
        accusers.clear();
        ownProbeFailed = false;
        localOnly = false;
        condemnedByPeer = false;
    }

    /** A suspicion has run out; whether it is known here only stays as it is. */
    void endSuspicion() {
        ownProbeFailed = false;
        condemnedByPeer = false;
    }

    /**
     * Members that it did not answer while it is suspect, the latest last; 0 stands for a verdict
     * whose author is not known.
     */
    Set<Long> accusers() {
        return accusers;
    }

    /** Adds an accuser; returns whether this made a difference to the suspicion. */
    boolean addAccuser(long incarnation) {
        return accusers.size() < MAX_ACCUSERS && accusers.add(incarnation);
    }

    /** The latest accuser, or 0. */
    private long lastAccuser() {
        long last = 0;
        for (long accuser : accusers) {
            last = accuser;
        }
        return last;
    }

    /** Whether this server's own probe failed: it goes on probing the suspect then. */
    boolean ownProbeFailed() {
        return ownProbeFailed;
    }

    void markOwnProbeFailed() {
        ownProbeFailed = true;
    }

    /**
     * Whether its present state is this server's own opinion that others are not told: a server
     * that hears nobody keeps its verdicts to itself.
     */
    boolean isLocalOnly() {
        return localOnly;
    }

    /** From now on others are told of its state. */
    void publish() {
        localOnly = false;
    }

    /** Whether others call it unresponsive already: it gets the shortest suspicion timeout. */
    boolean isCondemnedByPeer() {
        return condemnedByPeer;
    }

    void markCondemnedByPeer() {
        condemnedByPeer = true;
    }

    /**
     * Whether the member's own word, by its state version, overrides what is held against it here.
     * Against an opinion that others were never told an equal version suffices.
     */
    boolean isRefutedBy(long version) {
        return version > stateVersion() || localOnly && version == stateVersion();
    }

    /** What others are told of it. */
    MembershipUpdate toUpdate() {
        return member.toUpdate(isSuspect() ? lastAccuser() : 0);
    }
}
