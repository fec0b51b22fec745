package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Takes pages of entries from other replicas, merges them into this one's, and has chunked results
 * downloaded. Not thread-safe; time is handed in.
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
            take(from, item, now);
        }
        int laggingBefore = antiEntropy.lagging().count();
        antiEntropy
                .acceptPage(from, page, state.placement(), now)
                .ifPresent(next -> state.outbox().send(next.recipient(), next.message()));
        // The next range at once: waiting for the host's tick would keep clients from claiming in
        // it for longer.
        if (antiEntropy.lagging().count() > 0) {
            state.outbox().sendAll(antiEntropy.tick(state.placement(), now));
        }
        if (antiEntropy.lagging().count() != laggingBefore) {
            state.markMetadataChanged();
        }
    }

    private void take(String from, ReplicationMessage.TransferredEntry item, Duration now) {
        // An entry that was on its way for the rest of its window must not come back to life.
        if (item.remaining().isNegative() || item.remaining().isZero()) {
            return;
        }
        ReplicaEntry known = state.entries().get(item.token());
        if (known == ReplicaEntry.EMPTY && state.entries().size() >= state.limits().maxEntries()) {
            return;
        }
        ReplicaEntry received = item.entry().withExpiry(state.expiryAfter(item.remaining(), now));
        ReplicaEntry merged = known.merge(received);
        if (known.lacksAnyOf(merged)) {
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
