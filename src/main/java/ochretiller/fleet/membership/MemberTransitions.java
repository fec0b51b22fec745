package ochretiller.fleet.membership;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Carries out changes of members' states: alive, suspect, unresponsive, left, forgotten (SWIM,
 * section 4.2). Each change updates the table, the round of probes, the gossip and the counters,
 * and is reported. Whether a change is due is decided by the callers.
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
     * Adds a member that is not known yet.
     *
     * @param announce whether others are told of it
     * @return its record; empty if the table is full
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
        // It may be a previous incarnation of this server, or another process that bears its name:
        // only its own answer tells.
        if (member.id().name().equals(context.self().id().name()) && added.isLive()) {
            verifier.enqueue(member);
        }
        return Optional.of(added);
    }

    /** The member has shown that it is alive; drops all suspicion. */
    void markAlive(MemberRecord known, MemberState state, long stateVersion) {
        boolean returned = !known.isLive();
        changeState(known, state, stateVersion);
        known.clearSuspicion();
        if (returned) {
            context.counters().increment(MembershipCounter.RETURNED);
            schedule.insertNext(known.incarnation());
        }
        context.gossip().add(known.incarnation(), returned);
    }

    /**
     * Someone accuses the member of not answering.
     *
     * @param stateVersion of the member that the accuser knows
     * @param accuser its incarnation, or 0 if it is not known
     * @param keepLocal whether a new suspicion is kept from others for now
     */
    void suspect(MemberRecord known, long stateVersion, long accuser, boolean keepLocal) {
        if (!known.isSuspect() || stateVersion > known.stateVersion()) {
            startSuspicion(known, stateVersion, keepLocal);
        }
        boolean isNewAccuser = known.addAccuser(accuser);
        boolean becomesPublic = known.isLocalOnly() && !keepLocal;
        if (becomesPublic) {
            known.publish();
        }
        if (!known.isLocalOnly() && (isNewAccuser || becomesPublic)) {
            context.gossip().add(known.incarnation(), false);
        }
    }

    private void startSuspicion(MemberRecord known, long stateVersion, boolean keepLocal) {
        boolean wasUnresponsive = known.isUnresponsive();
        context.counters().increment(MembershipCounter.SUSPICIONS);
        changeState(known, MemberState.SUSPECT, stateVersion);
        known.startSuspicion(context.clock().now(), keepLocal);
        if (wasUnresponsive) {
            schedule.insertNext(known.incarnation());
        }
    }

    /** The suspicion has run out, or another process answers in the member's place. */
    void markUnresponsive(MemberRecord known) {
        context.counters().increment(MembershipCounter.BECAME_UNRESPONSIVE);
        changeState(known, MemberState.UNRESPONSIVE, known.stateVersion());
        known.endSuspicion();
        if (!known.isLocalOnly()) {
            context.gossip().add(known.incarnation(), false);
        }
    }

    /** The member has announced that it leaves; final for its incarnation. */
    void markLeft(MemberRecord known, long stateVersion) {
        context.counters().increment(MembershipCounter.LEFT);
        changeState(known, MemberState.LEFT, Math.max(stateVersion, known.stateVersion()));
        known.publish();
        context.gossip().add(known.incarnation(), false);
    }

    /** Takes another state or state version, and reports a change of state. */
    void changeState(MemberRecord known, MemberState state, long stateVersion) {
        MemberState previous = known.state();
        Member next = known.member().withState(state, stateVersion);
        context.table().update(known, next, context.clock().now());
        if (previous != state) {
            context.report(new MembershipChange.StateChanged(next, Optional.of(previous)));
        }
    }

    /** Forgets departed members that have been gone for long, or that are too many. */
    void forgetDeparted() {
        MemberTable table = context.table();
        ProtocolTiming timing = context.timing();
        Set<MemberRecord> forgotten = new LinkedHashSet<>();
        for (MemberRecord known : table.departed()) {
            if (context.clock().hasElapsed(known.stateSince(), timing.departedRetention())) {
                forgotten.add(known);
            }
        }
        int excess = table.departed().size() - forgotten.size() - timing.maxDeparted();
        Iterator<MemberRecord> oldestFirst = table.departed().iterator();
        while (excess > 0 && oldestFirst.hasNext()) {
            if (forgotten.add(oldestFirst.next())) {
                excess--;
            }
        }
        for (MemberRecord known : forgotten) {
            table.remove(known);
            context.report(new MembershipChange.Forgotten(known.member()));
        }
    }
}
