package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The claiming server's side of replication: a keyed invocation is claimed at a majority of its
 * token's replicas before it runs, and its outcome is stored by a majority before it is answered.
 * Majorities intersect, so at most one claim of a token is granted (Gifford 1979, "Weighted Voting
 * for Replicated Data").
 *
 * <p>A missing reply leaves a claim undecided: it may have been granted, and is released on its
 * owner's word and never run afterwards. There is no leader; two claims that block each other both
 * give way and come back after a random pause. Unlike a lease, a granted claim does not expire
 * within its window, since its run may have had its effect.
 *
 * <p>Not thread-safe; owned by the thread that owns the fleet's decisions. Time and random numbers
 * are handed in; after each call the host sends {@link #takeOutbound}.
 */
public final class ClaimCoordinator {
    private final CoordinatorState state;
    private final ClaimDispatcher dispatcher;
    private final ClaimReleases releases;
    private final OutcomeReplication outcomes;
    private final ClaimAttempts attempts;
    private final ObservedChangeNumbers changeNumbers = new ObservedChangeNumbers();

    /**
     * @param name this server's name
     * @param incarnation this start of its process: claims of another incarnation belong to another
     *     owner
     * @param placement the epoch that is known
     * @param random spreads pauses
     */
    public ClaimCoordinator(
            String name, long incarnation, ReplicaPlacement placement, RandomGenerator random) {
        this.state = new CoordinatorState(name, incarnation, placement);
        this.dispatcher = new ClaimDispatcher(state);
        this.releases = new ClaimReleases(state);
        this.outcomes = new OutcomeReplication(state);
        this.attempts = new ClaimAttempts(state, random, dispatcher, releases, outcomes);
    }

    /** Returns the messages that were decided on since the last call. */
    public List<OutboundMessage> takeOutbound() {
        return state.outbox().drain();
    }

    /** Returns the epoch that is known. */
    public ReplicaPlacement placement() {
        return state.placement();
    }

    /** Returns the invocations and outcomes that wait for replicas. */
    public int inFlight() {
        return attempts.count() + outcomes.pendingCount();
    }

    /** Returns how many claims may be in flight. */
    public double concurrencyLimit() {
        return attempts.concurrencyLimit();
    }

    /** Returns the requests that were sent to one more replica since another was late. */
    public long hedgedRequests() {
        return dispatcher.hedgedRequests();
    }

    /** Returns the requests that were repeated. */
    public long retriedRequests() {
        return dispatcher.retriedRequests();
    }

    /**
     * Returns the highest change numbers that were heard of, by replica, to be stored for the next
     * start.
     */
    public Map<String, Long> observedChangeNumbers() {
        return changeNumbers.ofServersIn(state.placement());
    }

    /** Restores what a previous incarnation had heard of. */
    public void restoreChangeNumbers(Map<String, Long> previous) {
        previous.forEach(changeNumbers::record);
    }

    /** Adopts a later epoch: what is in flight is asked anew of the replicas that it has there. */
    public void adoptPlacement(ReplicaPlacement next, Duration now) {
        if (next.epoch() <= state.epoch()) {
            return;
        }
        state.adopt(next);
        attempts.onEpochChange(now);
        outcomes.onEpochChange(now);
    }

    /**
     * Asks the replicas whether an invocation may run here.
     *
     * @param onDecision is handed the one decision, perhaps before this returns
     */
    public void claim(ClaimIntent intent, Duration now, Consumer<ClaimDecision> onDecision) {
        attempts.start(intent, now, onDecision);
    }

    /**
     * Takes a message from another server; those that are not meant for a claiming server are
     * ignored.
     */
    public void receive(String from, ReplicationMessage message, Duration now) {
        if (message instanceof ReplicationMessage.ClaimReply reply) {
            recordReply(from, reply.changeNumber());
            attempts.onReply(from, reply, now);
        } else if (message instanceof ReplicationMessage.OutcomeStored stored) {
            recordReply(from, stored.changeNumber());
            outcomes.onStored(from, stored, now);
        } else if (message instanceof ReplicationMessage.ClaimCompleted completed) {
            completed.changeNumbers().forEach(changeNumbers::record);
        } else if (message instanceof ReplicationMessage.ChangeNumberQuery query) {
            long highest = changeNumbers.highest(from);
            state.outbox()
                    .send(from, new ReplicationMessage.ChangeNumberReply(query.nonce(), highest));
        } else if (message instanceof ReplicationMessage.Chunk chunk) {
            attempts.onChunk(chunk, now);
        } else if (message instanceof ReplicationMessage.OwnerQuery query) {
            releases.onOwnerQuery(from, query, now);
        }
    }

    private void recordReply(String replica, long changeNumber) {
        state.unresponsive().recordReply(replica);
        changeNumbers.record(replica, changeNumber);
    }

    /**
     * Releases a granted claim whose run has never begun after all, so that another server may
     * claim its token.
     */
    public void releaseClaim(ClaimId claimId, Duration windowEnd, Duration now) {
        outcomes.cancelGrant(claimId)
                .ifPresent(token -> releases.release(token, claimId, windowEnd, now));
    }

    /** Releases a claim, of this incarnation or a previous one, that is known never to have run. */
    public void releaseClaim(String token, ClaimId claimId, Duration windowEnd, Duration now) {
        releases.release(token, claimId, windowEnd, now);
    }

    /**
     * Reports that a claimed run has ended.
     *
     * @param onStored is told, once, whether a majority has stored the outcome by the reply
     *     deadline
     */
    public void reportOutcome(CompletedClaim completed, Duration now, Consumer<Boolean> onStored) {
        outcomes.start(completed, now, onStored);
    }

    /** Reports the outcome of a claim of a previous incarnation of this server. */
    public void reportPreviousOutcome(String token, CompletedClaim completed, Duration now) {
        outcomes.startPrevious(token, completed, now);
    }

    /** Returns the chunked result of a run of this server that replicas may still request. */
    public Optional<String> pendingResult(ClaimId claimId) {
        return outcomes.heldResult(claimId);
    }

    /** Repeats, hedges and gives up requests. To be called some dozen times a second. */
    public void tick(Duration now) {
        attempts.tick(now);
        outcomes.tick(now);
    }

    /**
     * Returns what decides the next steps, as text: equal texts behave alike. For state-space
     * exploration.
     */
    public String describeState(Duration now) {
        return ""
                + state.epoch()
                + releases.released()
                + attempts.describeState(now)
                + outcomes.describeState(now);
    }
}
