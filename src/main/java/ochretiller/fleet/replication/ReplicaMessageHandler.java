package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Dispatches each message that a {@link Replica} receives to the component that handles it. Not
 * thread-safe; callers pass the time.
 */
final class ReplicaMessageHandler {
    private final ReplicaState state;
    private final EpochHandover handover;
    private final DiskFreshnessCheck diskCheck;
    private final RangeComparison comparison;
    private final ChunkAssembler chunks;
    private final ClaimVoter voter;
    private final RangePager pager;
    private final RangeReceiver receiver;
    private final List<AssembledResult> assembledResults = new ArrayList<>();

    ReplicaMessageHandler(
            ReplicaState state,
            AntiEntropy antiEntropy,
            EpochHandover handover,
            DiskFreshnessCheck diskCheck,
            RangeComparison comparison,
            ChunkAssembler chunks,
            ByteRateLimiter sendLimiter) {
        this.state = state;
        this.handover = handover;
        this.diskCheck = diskCheck;
        this.comparison = comparison;
        this.chunks = chunks;
        this.voter = new ClaimVoter(state, antiEntropy.laggingRanges(), diskCheck, chunks);
        this.pager = new RangePager(state, sendLimiter);
        this.receiver = new RangeReceiver(state, antiEntropy, chunks);
    }

    /** Processes a message from another server; messages for other components are ignored. */
    void receive(String from, ReplicationMessage message, Duration now) {
        if (message instanceof ReplicationMessage.ClaimRequest request) {
            voter.onRequest(from, request, now);
        } else if (message instanceof ReplicationMessage.ClaimQuery query) {
            voter.onQuery(from, query);
        } else if (message instanceof ReplicationMessage.ClaimCompleted completed) {
            voter.onCompleted(from, completed, now);
        } else if (message instanceof ReplicationMessage.ClaimRelease release) {
            voter.onRelease(release, now);
        } else if (message instanceof ReplicationMessage.RangeRequest request) {
            sendPage(from, request, now);
        } else if (message instanceof ReplicationMessage.RangePage page) {
            receiver.onPage(from, page, now);
        } else if (message instanceof ReplicationMessage.RangeDigest digest) {
            comparison.onDigest(from, digest);
        } else if (message instanceof ReplicationMessage.ChangeNumberReply reply) {
            if (diskCheck.accept(from, reply)) {
                checkDisk(now);
            }
        } else if (message instanceof ReplicationMessage.Chunk chunk) {
            chunks.accept(chunk).ifPresent(assembledResults::add);
            state.outbox().sendAll(chunks.tick(now));
        }
    }

    private void sendPage(String to, ReplicationMessage.RangeRequest request, Duration now) {
        request.placement().ifPresent(placement -> handover.adopt(placement, now));
        if (request.epoch() != state.epoch()) {
            return;
        }
        pager.page(request, handover.isReliableSource(request.range()), now)
                .ifPresent(page -> state.outbox().send(to, page));
    }

    /** Advances the disk check, and acts on its result. */
    void checkDisk(Duration now) {
        DiskFreshnessCheck.Progress progress = diskCheck.advance(now);
        if (progress == DiskFreshnessCheck.Progress.STALE) {
            handover.recoverAll(now);
        } else if (progress == DiskFreshnessCheck.Progress.FRESH) {
            state.markMetadataChanged();
        }
    }

    /** Returns the chunked results that have become complete since the last call. */
    List<AssembledResult> takeAssembledResults() {
        List<AssembledResult> taken = List.copyOf(assembledResults);
        assembledResults.clear();
        return taken;
    }

    void onResultStored(AssembledResult result) {
        voter.onResultStored(result);
    }

    /** Returns the estimated size of all sent entries, in bytes. */
    long sentBytes() {
        return pager.sentBytes();
    }
}
