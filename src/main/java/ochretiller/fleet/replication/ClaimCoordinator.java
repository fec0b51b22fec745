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
 * token's replicas before it runs, and its outcome is stored by a majority before the client is
 * answered. Majorities intersect, so at most one claim of a token is granted (Gifford 1979,
 * "Weighted Voting for Replicated Data").
 *
 * <p>A replica whose reply is missing may have granted the claim, so an owner that gives up
 * releases the claim explicitly and never runs it afterwards. There is no leader; two claims that
 * block each other both yield and retry after a random pause. Unlike a lease, a granted claim does
 * not expire within its window, since its run may have had side effects.
 *
 * <p>Not thread-safe; confined to the fleet's decision thread. The caller passes the time and
 * random numbers, and after each call sends the messages of {@link #takeOutbound}.
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
     * @param incarnation identifies this start of the server's process; claims of other
     *     incarnations have another owner
     * @param placement the placement of the latest known epoch
     * @param random source of the jitter of pauses
     */
    public ClaimCoordinator(
            String name, long incarnation, ReplicaPlacement placement, RandomGenerator random) {
        this.state = new CoordinatorState(name, incarnation, placement);
        this.dispatcher = new ClaimDispatcher(state);
        this.releases = new ClaimReleases(state);
        this.outcomes = new OutcomeReplication(state);
        this.attempts = new ClaimAttempts(state, random, dispatcher, releases, outcomes);
    }

    /** Returns the messages to send that were added since the last call. */
    public List<OutboundMessage> takeOutbound() {
        return state.outbox().drain();
    }

    /** Returns the placement of the adopted epoch. */
    public ReplicaPlacement placement() {
        return state.placement();
    }

    /** Returns the number of invocations and outcomes that await replies of replicas. */
    public int inFlightCount() {
        return attempts.count() + outcomes.pendingCount();
    }

    /** Returns how many claims may be in flight. */
    public double concurrencyLimit() {
        return attempts.concurrencyLimit();
    }

    /** Returns how many requests were sent to one more replica because a reply was late. */
    public long hedgedRequests() {
        return dispatcher.hedgedRequests();
    }

    /** Returns how many requests were repeated. */
    public long retriedRequests() {
        return dispatcher.retriedRequests();
    }

    /**
     * Returns the highest change number observed from each replica, to be stored for the next
     * start.
     */
    public Map<String, Long> observedChangeNumbers() {
        return changeNumbers.ofServersIn(state.placement());
    }

    /** Restores the change numbers that a previous incarnation observed. */
    public void restoreChangeNumbers(Map<String, Long> previous) {
        previous.forEach(changeNumbers::record);
    }

    /** Adopts a later epoch, and restarts everything in flight at its replicas. */
    public void adoptPlacement(ReplicaPlacement next, Duration now) {
        if (next.epoch() <= state.epoch()) {
            return;
        }
        state.adopt(next);
        attempts.onEpochChange(now);
        outcomes.onEpochChange(now);
    }

    /**
     * Claims an invocation's token at its replicas.
     *
     * @param onDecision called once, possibly before this method returns
     */
    public void claim(ClaimIntent intent, Duration now, Consumer<ClaimDecision> onDecision) {
        attempts.start(intent, now, onDecision);
    }

    /** Processes a message from another server; messages for other components are ignored. */
    public void receive(String from, ReplicationMessage message, Duration now) {
        if (message instanceof ReplicationMessage.ClaimReply reply) {
            recordReply(from, reply.changeNumber());
            attempts.onReply(from, reply, now);
        } else if (message instanceof ReplicationMessage.OutcomeStored stored) {
            recordReply(from, stored.changeNumber());
            outcomes.onOutcomeStored(from, stored, now);
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
        state.unresponsivePeers().recordReply(replica);
        changeNumbers.record(replica, changeNumber);
    }

    /**
     * Releases a granted claim whose run never started, so that another server may claim its token;
     * does nothing for any other claim.
     */
    public void releaseClaim(ClaimId claimId, Duration windowEnd, Duration now) {
        outcomes.cancelGrant(claimId)
                .ifPresent(token -> releases.release(token, claimId, windowEnd, now));
    }

    /** Releases a claim of this or a previous incarnation that never ran. */
    public void releaseClaim(String token, ClaimId claimId, Duration windowEnd, Duration now) {
        releases.release(token, claimId, windowEnd, now);
    }

    /**
     * Replicates the outcome of a claimed run that has ended.
     *
     * @param onStored called once with whether a majority has stored the outcome by the reply
     *     deadline
     */
    public void reportOutcome(CompletedClaim completed, Duration now, Consumer<Boolean> onStored) {
        outcomes.start(completed, now, onStored);
    }

    /** Replicates the outcome of a claim of a previous incarnation of this server. */
    public void reportPreviousOutcome(String token, CompletedClaim completed, Duration now) {
        outcomes.startPrevious(token, completed, now);
    }

    /** Returns the chunked result of a claim of this server while replicas may still request it. */
    public Optional<String> pendingChunkedResult(ClaimId claimId) {
        return outcomes.retainedResult(claimId);
    }

    /** Repeats, hedges and times out requests. To be called a few dozen times per second. */
    public void tick(Duration now) {
        attempts.tick(now);
        outcomes.tick(now);
    }

    /**
     * Returns the state that determines future behaviour, as text, for state-space exploration:
     * instances with equal texts behave alike.
     */
    public String describeState(Duration now) {
        return ""
                + state.epoch()
                + releases.releasedClaims()
                + attempts.describeState(now)
                + outcomes.describeState(now);
    }
}
