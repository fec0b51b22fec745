package ochretiller.fleet.membership;

import java.util.Optional;
import ochretiller.fleet.membership.MembershipMessage.Gossip;

/**
 * Merges updates from other members into this server's view, and refutes accusations against this
 * server.
 *
 * <p>Precedence follows SWIM, section 4.2: a higher state version overrides a lower one; at the
 * same version, suspect overrides alive; left is final. Departure: an "unresponsive" update from
 * another member does not take effect at once. It starts a suspicion with the shortest timeout,
 * during which this server pings the member itself.
 */
final class UpdateMerger {
    private static final long UNKNOWN_ACCUSER = 0;

    private final ProtocolContext context;
    private final MemberTransitions transitions;
    private final ReachabilityVerifier verifier;

    UpdateMerger(
            ProtocolContext context, MemberTransitions transitions, ReachabilityVerifier verifier) {
        this.context = context;
        this.transitions = transitions;
        this.verifier = verifier;
    }

    /**
     * Merges the gossip of a message.
     *
     * @param isTrusted whether the sender is live in this view; from other senders only updates
     *     about this server itself are processed
     */
    void merge(Gossip gossip, boolean isTrusted) {
        for (MembershipUpdate update : gossip.updates()) {
            if (context.isSelf(update.incarnation())) {
                refuteIfAccused(update);
            } else if (isTrusted) {
                merge(update);
            }
        }
        if (isTrusted) {
            gossip.members().forEach(member -> merge(member, true));
        }
    }

    /**
     * Refutes an accusation against this server by raising its state version (SWIM, section 4.2). A
     * suspicion also counts as a sign of poor local health (Lifeguard).
     */
    void refuteIfAccused(MembershipUpdate update) {
        Member self = context.self();
        boolean isSuspected = update.state() == MemberState.SUSPECT;
        boolean isAccusation = isSuspected || update.state() == MemberState.UNRESPONSIVE;
        boolean isCurrent = update.stateVersion() >= self.stateVersion();
        if (!isAccusation || !isCurrent || context.hasLeft()) {
            return;
        }
        context.updateSelf(self.state(), update.stateVersion() + 1);
        context.counters().increment(MembershipCounter.REFUTATIONS);
        if (isSuspected) {
            context.health().degrade();
        }
        context.gossip().add(self.incarnation(), false);
        context.report(new MembershipChange.SuspicionRefuted(context.self()));
    }

    /** Merges an update from a sender that is live in this view. */
    void merge(MembershipUpdate update) {
        Optional<MemberRecord> found = context.table().find(update.incarnation());
        if (found.isEmpty()) {
            if (update.state().isLive()) {
                // The next comparison of views fetches the full record.
                context.counters().increment(MembershipCounter.UNKNOWN_MEMBERS);
            }
            return;
        }
        MemberRecord record = found.get();
        if (record.state() == MemberState.LEFT) {
            return;
        }
        switch (update.state()) {
            case LEFT -> transitions.markLeft(record, update.stateVersion());
            case JOINING, ALIVE -> mergeAlive(record, update);
            case SUSPECT -> mergeSuspect(record, update);
            case UNRESPONSIVE -> mergeUnresponsive(record, update.stateVersion());
            default -> throw new IllegalStateException("unknown state " + update.state());
        }
    }

    private void mergeAlive(MemberRecord record, MembershipUpdate update) {
        if (record.isRefutedBy(update.stateVersion())) {
            transitions.markAlive(record, update.state(), update.stateVersion());
        }
    }

    private void mergeSuspect(MemberRecord record, MembershipUpdate update) {
        boolean isCurrent = update.stateVersion() >= record.stateVersion();
        boolean isAlreadyUnresponsive =
                record.isUnresponsive() && update.stateVersion() == record.stateVersion();
        if (isCurrent && !isAlreadyUnresponsive) {
            transitions.suspect(record, update.stateVersion(), update.accuser(), false);
        }
    }

    private void mergeUnresponsive(MemberRecord record, long stateVersion) {
        if (stateVersion < record.stateVersion()) {
            return;
        }
        if (record.isUnresponsive()) {
            if (stateVersion > record.stateVersion()) {
                transitions.changeState(record, MemberState.UNRESPONSIVE, stateVersion);
            }
            record.publish();
            return;
        }
        boolean isNewAccusation = !record.isSuspect() || stateVersion > record.stateVersion();
        if (!isNewAccusation && hasBeenSuspectForLong(record)) {
            record.publish();
            transitions.markUnresponsive(record);
            return;
        }
        if (isNewAccusation) {
            transitions.suspect(record, stateVersion, UNKNOWN_ACCUSER, true);
            verifier.enqueue(record.member());
        }
        record.markReportedUnresponsive();
    }

    /** Whether a member has been suspect for at least half of the shortest timeout. */
    private boolean hasBeenSuspectForLong(MemberRecord suspect) {
        return context.clock()
                .hasElapsed(
                        suspect.stateSince(),
                        context.timing().minSuspicionTimeout(context.fleetSize()).dividedBy(2));
    }

    /**
     * Merges a full member record from a sender that is live in this view.
     *
     * @param announce whether a member that is new to this view is gossiped to others
     */
    void merge(Member member, boolean announce) {
        boolean isLive = member.state().isLive();
        if (context.isSelf(member.incarnation())) {
            refuteIfAccused(member.toUpdate(0));
        } else if (context.table().contains(member.incarnation())) {
            merge(member.toUpdate(0));
        } else if (isLive && member.address().equals(context.self().address())) {
            // A previous process at this server's address: it must have ended, as this server now
            // uses the address.
            transitions.add(
                    member.withState(MemberState.UNRESPONSIVE, member.stateVersion()), true);
        } else if (isLive) {
            transitions.add(member, announce);
        }
    }
}
