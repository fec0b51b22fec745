package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The replica's side of claims: grants each token to the first claim that arrives, in the current
 * epoch and in complete ranges only, and stores outcomes. Not thread-safe; callers pass the time.
 */
final class ClaimVoter {
    private final ReplicaState state;
    private final LaggingRanges laggingRanges;
    private final DiskFreshnessCheck diskCheck;
    private final ChunkAssembler chunks;

    ClaimVoter(
            ReplicaState state,
            LaggingRanges laggingRanges,
            DiskFreshnessCheck diskCheck,
            ChunkAssembler chunks) {
        this.state = state;
        this.laggingRanges = laggingRanges;
        this.diskCheck = diskCheck;
        this.chunks = chunks;
    }

    void onRequest(String from, ReplicationMessage.ClaimRequest request, Duration now) {
        ReplicaEntry entry = state.entries().get(request.token());
        ReplicationMessage.ClaimVote vote =
                vote(entry, request.token(), request.claimId(), request.epoch());
        if (vote == ReplicationMessage.ClaimVote.UNCLAIMED) {
            vote = grant(entry, request, now);
        }
        reply(from, entry, request.token(), request.claimId(), vote);
    }

    private ReplicationMessage.ClaimVote grant(
            ReplicaEntry entry, ReplicationMessage.ClaimRequest request, Duration now) {
        // A repeated request needs no new expiry: that of the first one is late enough.
        if (entry.claims().containsKey(request.claimId())) {
            return ReplicationMessage.ClaimVote.GRANTED;
        }
        if (entry.isFull() || !hasCapacityFor(entry)) {
            return ReplicationMessage.ClaimVote.OVER_CAPACITY;
        }
        Duration expiry = state.expiryAfter(request.remaining(), now);
        state.put(
                request.token(), entry.withClaim(request.claimId(), request.fingerprint(), expiry));
        return ReplicationMessage.ClaimVote.GRANTED;
    }

    private boolean hasCapacityFor(ReplicaEntry entry) {
        boolean isNew = entry == ReplicaEntry.EMPTY;
        return (!isNew || state.entries().size() < state.limits().maxEntries())
                && state.entries().estimatedBytes() < state.limits().claimableBytes();
    }

    void onQuery(String from, ReplicationMessage.ClaimQuery query) {
        ReplicaEntry entry = state.entries().get(query.token());
        ReplicationMessage.ClaimVote vote =
                vote(entry, query.token(), query.claimId(), query.epoch());
        reply(from, entry, query.token(), query.claimId(), vote);
    }

    private void reply(
            String to,
            ReplicaEntry entry,
            String token,
            ClaimId claimId,
            ReplicationMessage.ClaimVote vote) {
        Optional<ClaimId> otherClaim =
                entry.completedClaim().or(() -> entry.competingClaim(claimId));
        state.outbox()
                .send(
                        to,
                        new ReplicationMessage.ClaimReply(
                                state.epoch(),
                                token,
                                claimId,
                                vote,
                                otherClaim,
                                entry.canonicalOutcome(),
                                state.changeNumber()));
    }

    private ReplicationMessage.ClaimVote vote(
            ReplicaEntry entry, String token, ClaimId claimId, long epoch) {
        // An outcome is valid in every epoch; all other votes are for the current epoch only.
        if (entry.canonicalOutcome().isPresent()) {
            return ReplicationMessage.ClaimVote.COMPLETED;
        }
        if (epoch < state.epoch()) {
            return ReplicationMessage.ClaimVote.STALE_EPOCH;
        }
        if (!canVoteOn(token, epoch)) {
            return ReplicationMessage.ClaimVote.LAGGING;
        }
        if (entry.releasedClaims().contains(claimId)) {
            return ReplicationMessage.ClaimVote.RELEASED;
        }
        return entry.competingClaim(claimId).isPresent()
                ? ReplicationMessage.ClaimVote.CLAIMED_BY_OTHER
                : ReplicationMessage.ClaimVote.UNCLAIMED;
    }

    private boolean canVoteOn(String token, long epoch) {
        int range = ReplicaPlacement.rangeOf(token);
        return epoch == state.epoch()
                && !diskCheck.isInProgress()
                && state.replicates(range)
                && !laggingRanges.contains(range);
    }

    void onCompleted(String from, ReplicationMessage.ClaimCompleted completed, Duration now) {
        String token = completed.token();
        ClaimId claimId = completed.claimId();
        ReplicaEntry entry = state.entries().get(token);
        if (!entry.outcomes().containsKey(claimId)) {
            Duration expiry = state.expiryAfter(completed.remaining(), now);
            state.put(token, entry.withOutcome(claimId, completed.outcome().forTransfer(), expiry));
        }
        ClaimOutcome stored = state.entries().get(token).outcomes().get(claimId);
        if (stored.resultPresent()) {
            confirmStored(from, completed.epoch(), token, claimId);
            return;
        }
        // The outcome counts as stored only after its result has been transferred.
        chunks.request(token, claimId, stored, from, completed.epoch());
        state.outbox().sendAll(chunks.tick(now));
    }

    private void confirmStored(String to, long epoch, String token, ClaimId claimId) {
        if (canVoteOn(token, epoch)) {
            state.outbox()
                    .send(
                            to,
                            new ReplicationMessage.OutcomeStored(
                                    state.epoch(), token, claimId, state.changeNumber()));
        }
    }

    /**
     * Records that a chunked result is stored until its entry expires, and confirms the outcome to
     * the server that it came from.
     */
    void onResultStored(AssembledResult result) {
        ReplicaEntry entry = state.entries().get(result.token());
        ClaimOutcome outcome = entry.outcomes().get(result.claimId());
        if (outcome == null) {
            return; // its window has ended
        }
        Map<ClaimId, ClaimOutcome> present =
                Map.of(result.claimId(), outcome.withResultPresent(true));
        state.put(
                result.token(),
                entry.merge(new ReplicaEntry(Map.of(), Set.of(), present, entry.expiresAt())));
        confirmStored(result.source(), result.epoch(), result.token(), result.claimId());
    }

    void onRelease(ReplicationMessage.ClaimRelease release, Duration now) {
        ReplicaEntry entry = state.entries().get(release.token());
        boolean alreadyReleased = entry.releasedClaims().contains(release.claimId());
        boolean tooMany = entry.releasedClaims().size() >= ReplicaEntry.MAX_CLAIMS;
        boolean noCapacity = entry == ReplicaEntry.EMPTY && !hasCapacityFor(entry);
        if (alreadyReleased || tooMany || noCapacity) {
            return;
        }
        // Stored for an unknown token as well: a claim that arrives after its release must not be
        // granted.
        Duration expiry = state.expiryAfter(release.remaining(), now);
        state.put(release.token(), entry.withRelease(release.claimId(), expiry));
    }
}
