package ochretiller.fleet.membership;

import java.util.List;
import java.util.Optional;

/**
 * Processes the sender's record in each packet, before the message itself. Unknown senders that
 * have answered a ping are added; unresponsive members that have answered one become alive again.
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
     * Processes the record of a packet's sender.
     *
     * @param answersProbe whether the packet answers a ping of this server, which proves that the
     *     sender can be reached
     * @return the sender's record in the table; empty if it is not in the view
     */
    Optional<MemberRecord> observe(Member sender, boolean answersProbe) {
        boolean hasOwnName = sender.id().name().equals(context.self().id().name());
        if (hasOwnName && sender.state().isLive()) {
            duplicates.report(sender);
        }
        Optional<MemberRecord> found = context.table().find(sender.incarnation());
        if (found.isEmpty()) {
            return observeUnknown(sender, answersProbe);
        }
        observeKnown(found.get(), sender, answersProbe);
        return found;
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
            markOthersAtAddressUnresponsive(sender);
        }
        if (context.isJoining()) {
            synchronizer.startSync(sender);
        }
        return added;
    }

    private void observeKnown(MemberRecord record, Member sender, boolean answersProbe) {
        if (record.state() == MemberState.LEFT) {
            return;
        }
        if (sender.state() == MemberState.LEFT) {
            transitions.markLeft(record, sender.stateVersion());
            return;
        }
        if (record.isUnresponsive() && !answersProbe) {
            // If packets are lost in one direction, it would flap: only an answer makes it alive.
            verifier.enqueue(sender);
            return;
        }
        boolean hasHigherVersion = sender.stateVersion() > record.stateVersion();
        if (hasHigherVersion || answersProbe && record.isRefutedBy(sender.stateVersion())) {
            transitions.markAlive(record, sender.state(), sender.stateVersion());
        }
    }

    /** A member has answered at its address, so no other process can be running there. */
    private void markOthersAtAddressUnresponsive(Member sender) {
        for (MemberRecord record : List.copyOf(context.table().all())) {
            boolean isOther = record.incarnation() != sender.incarnation();
            boolean hasSameAddress = record.member().address().equals(sender.address());
            if (isOther && hasSameAddress && record.isLive()) {
                record.publish();
                transitions.markUnresponsive(record);
            }
        }
    }
}
