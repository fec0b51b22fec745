package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One member in the {@link MemberTable}: its own record and this server's suspicions against it.
 */
final class MemberRecord {
    /** The first accuser and as many others as a suspicion needs confirmations. */
    private static final int MAX_ACCUSERS = ProtocolTiming.MAX_CONFIRMATIONS + 1;

    private Member member;
    private Duration stateSince;
    private final Set<Long> accusers = new LinkedHashSet<>();
    private boolean probeFailed;
    private boolean localOnly;
    private boolean reportedUnresponsive;

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

    /** When its state, or its restarted suspicion, began, on the {@link PauseExcludingClock}. */
    Duration stateSince() {
        return stateSince;
    }

    /** Replaces the member; called by {@link MemberTable} only, which updates its digests. */
    void update(Member next, Duration now) {
        if (member.state() != next.state()) {
            stateSince = now;
        }
        member = next;
    }

    /** Starts a suspicion without accusers, dropping those of an earlier one. */
    void startSuspicion(Duration now, boolean keepLocal) {
        stateSince = now;
        accusers.clear();
        probeFailed = false;
        reportedUnresponsive = false;
        localOnly = keepLocal;
    }

    /** Clears the suspicion and its accusers, since the member is alive. */
    void clearSuspicion() {
        accusers.clear();
        probeFailed = false;
        localOnly = false;
        reportedUnresponsive = false;
    }

    /** Ends a suspicion that has timed out; {@link #isLocalOnly} does not change. */
    void endSuspicion() {
        probeFailed = false;
        reportedUnresponsive = false;
    }

    /**
     * Incarnations of the members that have accused it in this suspicion, the latest last; 0 for an
     * accuser that is not known.
     */
    Set<Long> accusers() {
        return accusers;
    }

    /** Adds an accuser; returns false if it is known already or there are enough. */
    boolean addAccuser(long incarnation) {
        return accusers.size() < MAX_ACCUSERS && accusers.add(incarnation);
    }

    /** The latest accuser, or 0 if there is none. */
    private long lastAccuser() {
        long last = 0;
        for (long accuser : accusers) {
            last = accuser;
        }
        return last;
    }

    /** Whether this server's own probe failed, so that it keeps probing the suspect. */
    boolean hasOwnProbeFailed() {
        return probeFailed;
    }

    void markOwnProbeFailed() {
        probeFailed = true;
    }

    /**
     * Whether the state is not gossiped to others, because this server receives no packets or has
     * yet to check another member's report.
     */
    boolean isLocalOnly() {
        return localOnly;
    }

    /** Allows the state to be gossiped to others. */
    void publish() {
        localOnly = false;
    }

    /** Whether a peer reported it unresponsive, so that the shortest suspicion timeout applies. */
    boolean isReportedUnresponsive() {
        return reportedUnresponsive;
    }

    void markReportedUnresponsive() {
        reportedUnresponsive = true;
    }

    /**
     * Whether a state version reported by the member itself refutes its state in this view. An
     * equal version suffices if the state was never gossiped, as the member cannot know of it.
     */
    boolean isRefutedBy(long version) {
        return version > stateVersion() || localOnly && version == stateVersion();
    }

    /** The update to gossip, with the latest accuser of a suspect. */
    MembershipUpdate toUpdate() {
        return member.toUpdate(isSuspect() ? lastAccuser() : 0);
    }
}
