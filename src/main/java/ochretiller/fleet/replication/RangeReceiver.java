package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Merges pages of entries from other replicas into the local entries, and starts downloads of their
 * chunked results. Not thread-safe; callers pass the time.
 */
final class RangeReceiver {
    private final ReplicaState state;
    private final AntiEntropy antiEntropy;
    private final ChunkAssembler chunks;

    RangeReceiver(ReplicaState state, AntiEntropy antiEntropy, ChunkAssembler chunks) {
        this.state = state;
        this.antiEntropy = antiEntropy;
        this.chunks = chunks;
    }

    void onPage(String from, ReplicationMessage.RangePage page, Duration now) {
        if (page.epoch() != state.epoch()) {
            return;
        }
        for (ReplicationMessage.TransferredEntry item : page.entries()) {
            mergeEntry(from, item, now);
        }
        int laggingBefore = antiEntropy.laggingRanges().count();
        antiEntropy
                .acceptPage(from, page, state.placement(), now)
                .ifPresent(next -> state.outbox().send(next.recipient(), next.message()));
        // Request the next range at once: until it is complete, clients cannot claim tokens in it,
        // and waiting for the host's tick would prolong that.
        if (antiEntropy.laggingRanges().count() > 0) {
            state.outbox().sendAll(antiEntropy.tick(state.placement(), now));
        }
        if (antiEntropy.laggingRanges().count() != laggingBefore) {
            state.markMetadataChanged();
        }
    }

    private void mergeEntry(String from, ReplicationMessage.TransferredEntry item, Duration now) {
        // An entry whose window ended in transit must not be stored again.
        if (item.remaining().isNegative() || item.remaining().isZero()) {
            return;
        }
        ReplicaEntry existing = state.entries().get(item.token());
        if (existing == ReplicaEntry.EMPTY
                && state.entries().size() >= state.limits().maxEntries()) {
            return;
        }
        ReplicaEntry received = item.entry().withExpiry(state.expiryAfter(item.remaining(), now));
        ReplicaEntry merged = existing.merge(received);
        if (existing.differsBesidesExpiry(merged)) {
            state.put(item.token(), merged);
        }
        state.entries()
                .get(item.token())
                .outcomes()
                .forEach(
                        (claimId, outcome) -> {
                            if (!outcome.resultPresent()) {
                                chunks.request(item.token(), claimId, outcome, from, state.epoch());
                            }
                        });
    }
}
