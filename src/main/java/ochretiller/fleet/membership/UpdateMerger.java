package ochretiller.fleet.membership;

import java.util.Optional;
import ochretiller.fleet.membership.MembershipMessage.Gossip;

/**
 * Merges what other members say of members into this server's view, and refutes what is said of
 * this server itself.
 *
 * <p>Precedence follows SWIM, section 4.2: a higher state version overrides a lower one; at the
 * same version, suspect overrides alive, and left is final. Departure: "unresponsive" from another
 * member overrides nothing at once but leads to a suspicion with the shortest timeout, in which the
 * member is asked by this server itself.
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
     * Takes the gossip of a message.
     *
     * @param isTrusted whether its sender is live here; of others only what they say of this server
     *     is taken
     */
    void merge(Gossip gossip, boolean isTrusted) {
        for (MembershipUpdate update : gossip.updates()) {
            if (context.isSelf(update.incarnation())) {
                mergeOfSelf(update);
            } else if (isTrusted) {
                merge(update);
            }
        }
        if (isTrusted) {
            gossip.members().forEach(member -> merge(member, true));
        }
    }

    /**
     * Refutes an accusation against this server by a higher state version (SWIM, section 4.2;
     * Lifeguard takes it for a sign of poor local health).
     */
    void mergeOfSelf(MembershipUpdate update) {
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

    /** Takes an update of a member by a sender that is live here. */
    void merge(MembershipUpdate update) {
        Optional<MemberRecord> found = context.table().find(update.incarnation());
        if (found.isEmpty()) {
            if (update.state().isLive()) {
                // The next comparison of views brings its whole record.
                context.counters().increment(MembershipCounter.UNKNOWN_MEMBERS);
            }
            return;
        }
        MemberRecord known = found.get();
        if (known.state() == MemberState.LEFT) {
            return;
        }
        switch (update.state()) {
            case LEFT -> transitions.markLeft(known, update.stateVersion());
            case JOINING, ALIVE -> mergeAlive(known, update);
            case SUSPECT -> mergeSuspect(known, update);
            case UNRESPONSIVE -> mergeUnresponsive(known, update.stateVersion());
            default -> throw new IllegalStateException("unknown state " + update.state());
        }
    }

    private void mergeAlive(MemberRecord known, MembershipUpdate update) {
        if (known.isRefutedBy(update.stateVersion())) {
            transitions.markAlive(known, update.state(), update.stateVersion());
        }
    }

    private void mergeSuspect(MemberRecord known, MembershipUpdate update) {
        boolean isCurrent = update.stateVersion() >= known.stateVersion();
        boolean isSettled = known.isUnresponsive() && update.stateVersion() == known.stateVersion();
        if (isCurrent && !isSettled) {
            transitions.suspect(known, update.stateVersion(), update.accuser(), false);
        }
    }

    private void mergeUnresponsive(MemberRecord known, long stateVersion) {
        if (stateVersion < known.stateVersion()) {
            return;
        }
        if (known.isUnresponsive()) {
            if (stateVersion > known.stateVersion()) {
                transitions.changeState(known, MemberState.UNRESPONSIVE, stateVersion);
            }
            known.publish();
            return;
        }
        boolean isNewAccusation = !known.isSuspect() || stateVersion > known.stateVersion();
        if (!isNewAccusation && hasBeenSuspectForLong(known)) {
            known.publish();
            transitions.markUnresponsive(known);
            return;
        }
        if (isNewAccusation) {
            transitions.suspect(known, stateVersion, UNKNOWN_ACCUSER, true);
            verifier.enqueue(known.member());
        }
        known.markCondemnedByPeer();
    }

    /** Whether a suspect has had half of the shortest timeout to refute already. */
    private boolean hasBeenSuspectForLong(MemberRecord suspect) {
        return context.clock()
                .hasElapsed(
                        suspect.stateSince(),
                        context.timing().minSuspicionTimeout(context.fleetSize()).dividedBy(2));
    }

    /**
     * Takes the whole record of a member from a sender that is live here.
     *
     * @param announce whether others are told of a newcomer
     */
    void merge(Member member, boolean announce) {
        boolean isLive = member.state().isLive();
        if (context.isSelf(member.incarnation())) {
            mergeOfSelf(member.toUpdate(0));
        } else if (context.table().contains(member.incarnation())) {
            merge(member.toUpdate(0));
        } else if (isLive && member.address().equals(context.self().address())) {
            // A previous process at this server's own address: nobody can know better that it is
            // gone.
            transitions.add(
                    member.withState(MemberState.UNRESPONSIVE, member.stateVersion()), true);
        } else if (isLive) {
            transitions.add(member, announce);
        }
    }
}
