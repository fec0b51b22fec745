package ochretiller.fleet.membership;

import java.util.List;
import java.util.Optional;

/**
 * Takes a sender's own record, which comes with each packet, before the message itself: newcomers
 * that have answered a ping are added, unresponsive members that have answered one are alive again.
 */
final class SenderTracker {
    private final ProtocolContext context;
    private final MemberTransitions transitions;
    private final ReachabilityVerifier verifier;
    private final ViewSynchronizer synchronizer;
    private final DuplicateNameDetector duplicates;

    SenderTracker(
            ProtocolContext context,
            MemberTransitions transitions,
            ReachabilityVerifier verifier,
            ViewSynchronizer synchronizer,
            DuplicateNameDetector duplicates) {
        this.context = context;
        this.transitions = transitions;
        this.verifier = verifier;
        this.synchronizer = synchronizer;
        this.duplicates = duplicates;
    }

    /**
     * Takes the record of a packet's sender.
     *
     * @param answersProbe whether the packet answers a ping of this server, which proves that the
     *     sender can be reached
     * @return what is known of the sender now; empty if it is not in the view
     */
    Optional<MemberRecord> observe(Member sender, boolean answersProbe) {
        boolean hasOwnName = sender.id().name().equals(context.self().id().name());
        if (hasOwnName && sender.state().isLive()) {
            duplicates.report(sender);
        }
        Optional<MemberRecord> known = context.table().find(sender.incarnation());
        if (known.isEmpty()) {
            return observeUnknown(sender, answersProbe);
        }
        observeKnown(known.get(), sender, answersProbe);
        return known;
    }

    private Optional<MemberRecord> observeUnknown(Member sender, boolean answersProbe) {
        if (sender.state() == MemberState.LEFT) {
            return Optional.empty();
        }
        if (!answersProbe) {
            verifier.enqueue(sender);
            return Optional.empty();
        }
        Optional<MemberRecord> added = transitions.add(sender, true);
        if (added.isPresent()) {
            displaceOthersAt(sender);
        }
        if (context.isJoining()) {
            synchronizer.startSync(sender);
        }
        return added;
    }

    private void observeKnown(MemberRecord known, Member sender, boolean answersProbe) {
        if (known.state() == MemberState.LEFT) {
            return;
        }
        if (sender.state() == MemberState.LEFT) {
            transitions.markLeft(known, sender.stateVersion());
            return;
        }
        if (known.isUnresponsive() && !answersProbe) {
            // Under a cut in one direction it would come and go: only an answer brings it back.
            verifier.enqueue(sender);
            return;
        }
        boolean isRaised = sender.stateVersion() > known.stateVersion();
        if (isRaised || answersProbe && known.isRefutedBy(sender.stateVersion())) {
            transitions.markAlive(known, sender.state(), sender.stateVersion());
        }
    }

    /** Whoever was at the address of a member that has answered is not there any more. */
    private void displaceOthersAt(Member sender) {
        for (MemberRecord known : List.copyOf(context.table().all())) {
            boolean isOther = known.incarnation() != sender.incarnation();
            boolean hasSameAddress = known.member().address().equals(sender.address());
            if (isOther && hasSameAddress && known.isLive()) {
                known.publish();
                transitions.markUnresponsive(known);
            }
        }
    }
}
