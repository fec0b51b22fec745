package ochretiller.fleet.service;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.rollout.RolloutMessage;

/**
 * Rollout changes that admin commands request from an acceptor: publishing a version, and pausing,
 * resuming or rolling back a rollout. A version is proposed only after a majority of the acceptors
 * has stored its bytes, so the publishing server may fail from then on. Confined to the event loop.
 */
final class RolloutProposals {
    /** Time after which an uncommitted request is dropped; the operator has to repeat it. */
    private static final Duration PROPOSAL_LIFETIME = Duration.ofSeconds(10);

    /** Number of arguments: publisher, reason, minimum build and version. */
    private static final int PUBLISH_ARGUMENTS = 4;

    private final FleetContext context;
    private final List<String> acceptors;
    private final VersionFiles files;
    private final VersionFollower follower;
    private final VersionActivator activator;
    private final Set<String> serversWithBytes = new HashSet<>();
    private RolloutState committed = ReplicaPlacement.empty(1).rollout();
    private Optional<RolloutState> pendingOffer = Optional.empty();
    private Optional<RolloutState> pendingProposal = Optional.empty();
    private boolean isClosed;

    RolloutProposals(
            FleetContext context,
            List<String> acceptors,
            VersionFiles files,
            VersionFollower follower,
            VersionActivator activator) {
        this.context = context;
        this.acceptors = acceptors;
        this.files = files;
        this.follower = follower;
        this.activator = activator;
    }

    /** Adopts the committed state, and drops the proposal if it is the one that was committed. */
    void adoptState(RolloutState next) {
        committed = next;
        if (pendingProposal.isPresent() && pendingProposal.get().equals(next)) {
            pendingProposal = Optional.empty();
        }
    }

    /** Returns the state to propose, if an operator has requested one. */
    Optional<RolloutState> nextProposal() {
        return pendingProposal;
    }

    /**
     * Publishes a version for an admin command.
     *
     * @param arguments publisher, reason and minimum build, one per line, followed by the version
     * @return the result as JSON
     */
    String publish(String arguments) {
        String[] lines = arguments.split("\n", PUBLISH_ARGUMENTS);
        if (lines.length < PUBLISH_ARGUMENTS) {
            return rejection("no version");
        }
        byte[] version = lines[3].getBytes(StandardCharsets.UTF_8);
        return publish(lines[0], lines[1], lines[2], version);
    }

    /** Publishes a version; returns the result as JSON. */
    String publish(String publisher, String reason, String minimumBuild, byte[] version) {
        Optional<String> fault = faultOf(version);
        if (fault.isPresent()) {
            return rejection(fault.get());
        }
        PublishedVersion next;
        try {
            next =
                    new PublishedVersion(
                            committed.target().number() + 1,
                            VersionFiles.hashOf(version),
                            version.length,
                            minimumBuild,
                            publisher,
                            reason);
        } catch (IllegalArgumentException e) {
            return rejection(e.getMessage());
        }
        startOffering(committed.startRollout(next), version);
        activator.recordEvent(RolloutEvent.VERSION_PUBLISHED, next, publisher + ": " + reason);
        return JsonText.object(out -> out.writeNumberField("published", next.number()));
    }

    private Optional<String> faultOf(byte[] version) {
        if (!isAcceptor()) {
            return Optional.of(notAnAcceptor());
        }
        if (version.length == 0 || version.length > PublishedVersion.MAX_BYTES) {
            return Optional.of("a version has 1 to " + PublishedVersion.MAX_BYTES + " bytes");
        }
        if (!committed.isComplete() || pendingProposal.isPresent() || pendingOffer.isPresent()) {
            return Optional.of(
                    "version "
                            + committed.target().number()
                            + " is being brought out: one at a time");
        }
        return Optional.ofNullable(activator.check(version));
    }

    private boolean isAcceptor() {
        return acceptors.contains(context.serverName());
    }

    private String notAnAcceptor() {
        return "this server is no voter: ask one of " + acceptors;
    }

    private static String rejection(String reason) {
        return JsonText.object(out -> out.writeStringField("refused", reason));
    }

    private void startOffering(RolloutState offer, byte[] version) {
        pendingOffer = Optional.of(offer);
        serversWithBytes.clear();
        String hash = offer.target().hash();
        files.store(hash, version, follower.active().hash(), () -> onStoredLocally(offer));
        context.scheduler().runAfter(PROPOSAL_LIFETIME, () -> expireOffer(offer));
    }

    private void onStoredLocally(RolloutState offer) {
        if (!isOffered(offer)) {
            return;
        }
        receiveConfirmation(context.serverName(), offer.target().hash());
        if (isOffered(offer)) {
            offerToOthers();
        }
    }

    /** Returns whether exactly this offer is pending, and not an equal later one. */
    private boolean isOffered(RolloutState offer) {
        return pendingOffer.isPresent() && pendingOffer.get() == offer;
    }

    /** Drops an offer that a majority of the acceptors has not confirmed in time. */
    private void expireOffer(RolloutState offer) {
        if (isOffered(offer)) {
            pendingOffer = Optional.empty();
        }
    }

    /** Offers the version that was published here to the acceptors that have not confirmed it. */
    void offerToOthers() {
        pendingOffer.ifPresent(offer -> offerToOthers(offer.target()));
    }

    private void offerToOthers(PublishedVersion version) {
        for (String acceptor : acceptors) {
            boolean isOther = !acceptor.equals(context.serverName());
            if (isOther && !serversWithBytes.contains(acceptor)) {
                context.sender()
                        .send(
                                acceptor,
                                new RolloutMessage.VersionOffer(
                                        version.hash(), version.sizeBytes()));
            }
        }
    }

    /** Handles an acceptor's confirmation that it has stored the bytes of a version. */
    void receiveConfirmation(String server, String hash) {
        boolean isExpected =
                pendingOffer.isPresent()
                        && acceptors.contains(server)
                        && hash.equals(pendingOffer.get().target().hash());
        if (isClosed || !isExpected) {
            return;
        }
        serversWithBytes.add(server);
        if (serversWithBytes.size() >= ReplicaPlacement.quorumSize(acceptors.size())) {
            propose(pendingOffer.get());
            pendingOffer = Optional.empty();
        }
    }

    private void propose(RolloutState next) {
        pendingProposal = Optional.of(next);
        // If another proposal was committed instead, the operator has to decide again.
        context.scheduler().runAfter(PROPOSAL_LIFETIME, () -> expireProposal(next));
    }

    private void expireProposal(RolloutState next) {
        if (pendingProposal.isPresent() && pendingProposal.get().equals(next)) {
            pendingProposal = Optional.empty();
        }
    }

    /**
     * Pauses, resumes or rolls back the rollout for an admin command.
     *
     * @param command {@code pause}, {@code go-on} or {@code take-back}
     * @param operator name of the operator who issued the command
     * @return the result as JSON
     */
    String executeCommand(String command, String operator) {
        if (!isAcceptor()) {
            return rejection(notAnAcceptor());
        }
        Optional<RolloutState> next = stateAfter(command, operator);
        if (next.isEmpty()) {
            return rejection(
                    "there is nothing to "
                            + command
                            + ": "
                            + committed.phase().externalName()
                            + " at version "
                            + committed.target().number());
        }
        propose(next.get());
        return JsonText.object(out -> out.writeStringField("wished", command));
    }

    private Optional<RolloutState> stateAfter(String command, String operator) {
        boolean isRunning = committed.phase() == RolloutPhase.RUNNING;
        return switch (command) {
            case "pause" ->
                    isRunning
                            ? Optional.of(committed.withPhase(RolloutPhase.PAUSED))
                            : Optional.empty();
            case "go-on" ->
                    committed.isComplete() || isRunning
                            ? Optional.empty()
                            : Optional.of(committed.withPhase(RolloutPhase.RUNNING));
            case "take-back" ->
                    committed.target().number() == 0
                                    || committed.previous().equals(committed.target())
                            ? Optional.empty()
                            : Optional.of(
                                    committed.rolledBack(operator, "taken back by " + operator));
            default -> Optional.empty();
        };
    }

    /** Ignores confirmations from now on. */
    void close() {
        isClosed = true;
    }
}
