package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * One server's replica of claims and outcomes. Performs no I/O: the host passes messages, time and
 * random numbers, and performs the sends and writes. Votes in its current epoch only, and grants
 * each token to the first claim. After a change of replicas or the loss of its disk, it has to
 * fetch a range from enough of the previous replicas before its votes count; a replica that was
 * merely unreachable may vote at once, since it knows what it granted.
 *
 * <p>After each call the host stores the entries of {@link #takeChangedTokens} and, if {@link
 * #takeMetadataChanged} returns true, {@link #metadataSnapshot}; when both are durable, it sends
 * the messages of {@link #takeOutbound} ({@link DurabilityBarrier}). It stores the results of
 * {@link #takeAssembledResults} and then reports each with {@link #recordResultStored}.
 *
 * <p>Not thread-safe; confined to the fleet's decision thread.
 */
public final class Replica {
    /** Burst size of the transfer rate limits, in estimated bytes: a few dozen pages. */
    private static final double TRANSFER_BURST_BYTES = 256 * 1024;

    private final ReplicaState state;
    private final DiskFreshnessCheck diskCheck;
    private final AntiEntropy antiEntropy;
    private final EpochHandover handover;
    private final ChunkAssembler chunks = new ChunkAssembler();
    private final RangeComparison comparison;
    private final ReplicaMessageHandler messageHandler;

    private Replica(ReplicaState state, boolean checkDisk, Duration now) {
        this.state = state;
        double rate = state.limits().bytesPerSecond();
        ByteRateLimiter sendLimiter = new ByteRateLimiter(rate, TRANSFER_BURST_BYTES, now);
        ByteRateLimiter receiveLimiter = new ByteRateLimiter(rate, TRANSFER_BURST_BYTES, now);
        diskCheck = new DiskFreshnessCheck(state, checkDisk, now);
        antiEntropy = new AntiEntropy(state.name(), state.entries(), receiveLimiter);
        handover = new EpochHandover(state, antiEntropy, diskCheck);
        comparison = new RangeComparison(state, antiEntropy);
        messageHandler =
                new ReplicaMessageHandler(
                        state, antiEntropy, handover, diskCheck, comparison, chunks, sendLimiter);
    }

    /** Creates a replica from the state on its disk. */
    public static Replica recover(
            String name, ReplicaSnapshot snapshot, ReplicaLimits limits, Duration now) {
        ReplicaState state =
                new ReplicaState(name, limits, snapshot.placement(), snapshot.changeNumber());
        snapshot.entries().forEach((token, entry) -> state.entries().put(token, entry, 0));
        state.entries().takeChangedTokens(); // they are on disk already
        state.unreliableRanges().addAll(snapshot.unreliableRanges());
        Replica replica = new Replica(state, snapshot.mayBeStale(), now);
        replica.handover.resume(snapshot.laggingRanges(), snapshot.lostGrantRanges(), now);
        return replica;
    }

    /**
     * Creates a replica without state on disk, which may have lost claims that it granted.
     *
     * @param placement the placement of the latest epoch that it knows
     * @param changeNumber a number above all that it may have sent before, or 0 if no peer can have
     *     observed any
     */
    public static Replica withoutDisk(
            String name,
            ReplicaPlacement placement,
            long changeNumber,
            ReplicaLimits limits,
            Duration now) {
        ReplicaState state = new ReplicaState(name, limits, placement, changeNumber);
        Replica replica = new Replica(state, false, now);
        replica.handover.recoverAll(now);
        return replica;
    }

    /**
     * Returns the metadata, without entries, that has to be on disk in addition to the entries
     * before {@link #takeOutbound} may be sent.
     */
    public ReplicaSnapshot metadataSnapshot() {
        LaggingRanges lagging = antiEntropy.laggingRanges();
        return new ReplicaSnapshot(
                state.placement(),
                Map.of(),
                lagging.all(),
                lagging.withLostGrants(),
                Set.copyOf(state.unreliableRanges()),
                state.changeNumber(),
                true);
    }

    /** Returns the tokens whose entries have changed since the last call. */
    public List<String> takeChangedTokens() {
        return state.entries().takeChangedTokens();
    }

    /** Returns whether the epoch or the lagging ranges have changed since the last call. */
    public boolean takeMetadataChanged() {
        return state.takeMetadataChanged();
    }

    /** Returns the messages to send that were added since the last call. */
    public List<OutboundMessage> takeOutbound() {
        return state.outbox().drain();
    }

    /** Returns the chunked results that have become complete since the last call. */
    public List<AssembledResult> takeAssembledResults() {
        return messageHandler.takeAssembledResults();
    }

    /** Returns the placement of the adopted epoch. */
    public ReplicaPlacement placement() {
        return state.placement();
    }

    /** Returns how many ranges the replica is still catching up on. */
    public int laggingRangeCount() {
        return antiEntropy.laggingRanges().count();
    }

    /** Returns whether the replica is still catching up on a range. */
    public boolean isLagging(int range) {
        return antiEntropy.laggingRanges().contains(range);
    }

    /** Returns how long the longest-lagging range has been lagging; zero if none lags. */
    public Duration longestLag(Duration now) {
        return antiEntropy.laggingRanges().longestLag(now);
    }

    /** Returns whether the check for a stale disk is still in progress. */
    public boolean isCheckingDisk() {
        return diskCheck.isInProgress();
    }

    /** Returns the number of the last change. */
    public long changeNumber() {
        return state.changeNumber();
    }

    /** Returns the number of a token's last change; 0 if the token is unknown. */
    public long changeNumber(String token) {
        return state.entries().changeNumber(token);
    }

    /** Returns the entry of a token; an empty one if the token is unknown. */
    public ReplicaEntry entry(String token) {
        return state.entries().get(token);
    }

    /** Returns the digest of a range's entries; equal on replicas with equal entries. */
    public long rangeDigest(int range) {
        return state.entries().rangeDigest(range);
    }

    /** Returns how many entries a range has. */
    public int entryCount(int range) {
        return state.entries().entryCount(range);
    }

    /** Returns the first tokens of a range, in token order, for the administrator's listing. */
    public List<TokenSummary> listTokens(int range, int limit) {
        return state.entries().summarize(range, limit);
    }

    /**
     * Returns tokens whose outcomes were found to conflict since the last call; only some if there
     * are many.
     */
    public List<String> takeConflictingTokens() {
        return state.entries().takeConflictingTokens();
    }

    /** Returns the current statistics. */
    public ReplicaStatistics statistics() {
        ReplicaEntries entries = state.entries();
        return new ReplicaStatistics(
                entries.size(),
                entries.estimatedBytes(),
                entries.conflictCount(),
                state.hints().count(),
                antiEntropy.receivedEntries(),
                antiEntropy.receivedBytes(),
                messageHandler.sentBytes(),
                comparison.comparisons(),
                comparison.differences(),
                diskCheck.staleDiskCount());
    }

    /**
     * Merges an entry from a storage that may lack other entries: the entry is valid, but does not
     * make its range complete. An expired entry is ignored.
     */
    public void restore(String token, ReplicaEntry entry) {
        if (entry.expiresAt().compareTo(Duration.ZERO) > 0) {
            state.put(token, entry(token).merge(entry));
        }
    }

    /**
     * Updates which servers are reachable according to the membership view, so that changes that
     * unreachable replicas miss are recorded.
     */
    public void observeLivePeers(Set<String> live) {
        state.hints().observeLivePeers(live, state.name(), state.placement());
    }

    /**
     * Adopts a later epoch, after which the replica no longer votes in older ones. An older epoch
     * is ignored.
     */
    public void adoptPlacement(ReplicaPlacement next, Duration now) {
        handover.adopt(next, now);
    }

    /**
     * Fetches missing entries within the rate limit, and removes expired ones. To be called a few
     * dozen times per second.
     */
    public void tick(Duration now) {
        if (diskCheck.isInProgress()) {
            messageHandler.checkDisk(now);
        }
        int laggingBefore = laggingRangeCount();
        state.outbox().sendAll(antiEntropy.tick(state.placement(), now));
        if (laggingRangeCount() != laggingBefore) {
            state.markMetadataChanged();
        }
        state.outbox().sendAll(chunks.tick(now));
        comparison.tick();
        state.entries().removeExpired(now);
    }

    /** Processes a message from another server; messages for other components are ignored. */
    public void receive(String from, ReplicationMessage message, Duration now) {
        messageHandler.receive(from, message, now);
    }

    /** Records that the host has stored a chunked result, so that its outcome counts as stored. */
    public void recordResultStored(AssembledResult result) {
        messageHandler.onResultStored(result);
    }

    /** Compares a random range with another replica of it, if this server replicates the range. */
    public void compareRandomRange(RandomGenerator random) {
        comparison.compareRandomRange(random);
    }

    /**
     * Schedules a comparison of each replicated range with each of its other replicas; returns the
     * number of comparisons.
     */
    public int compareAllRanges() {
        return comparison.scheduleAll();
    }

    /**
     * Returns the state that determines future behaviour, as text, for state-space exploration:
     * instances with equal texts behave alike.
     */
    public String describeState(Duration now) {
        StringBuilder text =
                new StringBuilder()
                        .append(state.epoch())
                        .append(state.unreliableRanges())
                        .append(state.changeNumber())
                        .append(diskCheck.describeState());
        state.entries()
                .all()
                .forEach(
                        (token, entry) ->
                                text.append(token)
                                        .append(entry.claims())
                                        .append(entry.releasedClaims())
                                        .append(entry.outcomes())
                                        .append(entry.expiresAt().minus(now)));
        return text.append(antiEntropy.describeState()).append(chunks.describeState()).toString();
    }
}
