package ochretiller.fleet.membership;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Applies state changes of members: alive, suspect, unresponsive, left, forgotten (SWIM, section
 * 4.2). Each change updates the table, the probe schedule, the gossip and the counters and is
 * reported. The callers decide whether a change is due.
 */
final class MemberTransitions {
    private final ProtocolContext context;
    private final ProbeSchedule schedule;
    private final ReachabilityVerifier verifier;

    MemberTransitions(
            ProtocolContext context, ProbeSchedule schedule, ReachabilityVerifier verifier) {
        this.context = context;
        this.schedule = schedule;
        this.verifier = verifier;
    }

    /**
     * Adds a member that is not in the table yet.
     *
     * @param announce whether it is gossiped to others
     * @return its record; empty if the table is full of live members
     */
    Optional<MemberRecord> add(Member member, boolean announce) {
        MemberTable table = context.table();
        if (table.size() >= ProtocolTiming.MAX_MEMBERS && !table.removeLongestDeparted()) {
            context.counters().increment(MembershipCounter.CAPACITY_REJECTIONS);
            return Optional.empty();
        }
        MemberRecord added = table.add(member, context.clock().now());
        context.counters().increment(MembershipCounter.JOINED);
        context.report(new MembershipChange.StateChanged(member, Optional.empty()));
        if (added.isLive()) {
            schedule.insertAtRandom(member.incarnation());
        }
        if (announce) {
            context.gossip().add(member.incarnation(), true);
        }
        // It may be a previous incarnation of this server or another process with the same name:
        // a ping tells which.
        if (member.id().name().equals(context.self().id().name()) && added.isLive()) {
            verifier.enqueue(member);
        }
        return Optional.of(added);
    }

    /** Marks a member as alive and clears any suspicion. */
    void markAlive(MemberRecord record, MemberState state, long stateVersion) {
        boolean returned = !record.isLive();
        changeState(record, state, stateVersion);
        record.clearSuspicion();
        if (returned) {
            context.counters().increment(MembershipCounter.RETURNED);
            schedule.insertNext(record.incarnation());
        }
        context.gossip().add(record.incarnation(), returned);
    }

    /**
     * Records an accusation that a member does not answer, and makes it suspect if it is not.
     *
     * @param stateVersion the member's state version as known to the accuser
     * @param accuser the accuser's incarnation, or 0 if it is not known
     * @param keepLocal whether a new suspicion is not gossiped to others for now
     */
    void suspect(MemberRecord record, long stateVersion, long accuser, boolean keepLocal) {
        if (!record.isSuspect() || stateVersion > record.stateVersion()) {
            startSuspicion(record, stateVersion, keepLocal);
        }
        boolean isNewAccuser = record.addAccuser(accuser);
        boolean becomesPublic = record.isLocalOnly() && !keepLocal;
        if (becomesPublic) {
            record.publish();
        }
        if (!record.isLocalOnly() && (isNewAccuser || becomesPublic)) {
            context.gossip().add(record.incarnation(), false);
        }
    }

    private void startSuspicion(MemberRecord record, long stateVersion, boolean keepLocal) {
        boolean wasUnresponsive = record.isUnresponsive();
        context.counters().increment(MembershipCounter.SUSPICIONS);
        changeState(record, MemberState.SUSPECT, stateVersion);
        record.startSuspicion(context.clock().now(), keepLocal);
        if (wasUnresponsive) {
            schedule.insertNext(record.incarnation());
        }
    }

    /** Marks a member as unresponsive: its suspicion timed out, or its address was taken over. */
    void markUnresponsive(MemberRecord record) {
        context.counters().increment(MembershipCounter.BECAME_UNRESPONSIVE);
        changeState(record, MemberState.UNRESPONSIVE, record.stateVersion());
        record.endSuspicion();
        if (!record.isLocalOnly()) {
            context.gossip().add(record.incarnation(), false);
        }
    }

    /** Marks a member that announced its leave; final for its incarnation. */
    void markLeft(MemberRecord record, long stateVersion) {
        context.counters().increment(MembershipCounter.LEFT);
        changeState(record, MemberState.LEFT, Math.max(stateVersion, record.stateVersion()));
        record.publish();
        context.gossip().add(record.incarnation(), false);
    }

    /** Sets the state and state version of a member; reports it if the state differs. */
    void changeState(MemberRecord record, MemberState state, long stateVersion) {
        MemberState previous = record.state();
        Member next = record.member().withState(state, stateVersion);
        context.table().update(record, next, context.clock().now());
        if (previous != state) {
            context.report(new MembershipChange.StateChanged(next, Optional.of(previous)));
        }
    }

    /** Removes departed members that are past their retention time or exceed the limit. */
    void forgetDeparted() {
        MemberTable table = context.table();
        ProtocolTiming timing = context.timing();
        Set<MemberRecord> forgotten = new LinkedHashSet<>();
        for (MemberRecord record : table.departedMembers()) {
            if (context.clock().hasElapsed(record.stateSince(), timing.departedRetention())) {
                forgotten.add(record);
            }
        }
        int excess = table.departedMembers().size() - forgotten.size() - timing.maxDeparted();
        Iterator<MemberRecord> oldestFirst = table.departedMembers().iterator();
        while (excess > 0 && oldestFirst.hasNext()) {
            if (forgotten.add(oldestFirst.next())) {
                excess--;
            }
        }
        for (MemberRecord record : forgotten) {
            table.remove(record);
            context.report(new MembershipChange.Forgotten(record.member()));
        }
    }
}
