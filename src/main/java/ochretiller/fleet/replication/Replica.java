package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * One server's replica of claims and outcomes: messages, time and random numbers in; messages and
 * changes to store out. It answers for its present epoch only, first come, first granted. A range
 * whose replicas have changed, or whose disk was lost, has to be fetched from enough of the
 * previous replicas before its votes count; a replica that was merely unreachable needs nothing to
 * count, since it knows what it granted.
 *
 * <p>After each call the host stores {@link #takeChangedTokens} and, where {@link
 * #takeMetadataChanged} says so, {@link #metadataSnapshot}, and sends {@link #takeOutbound} once
 * both are durable ({@link DurabilityBarrier}). It stores {@link #takeAssembledResults} and then
 * reports each with {@link #resultStored}.
 *
 * <p>Not thread-safe; owned by the thread that owns the fleet's decisions.
 */
public final class Replica {
    /** Estimated bytes that are saved up of the transfer rates: some pages. */
    private static final double TRANSFER_BURST_BYTES = 256 * 1024;

    private final ReplicaState state;
    private final DiskFreshnessCheck diskCheck;
    private final AntiEntropy antiEntropy;
    private final EpochHandover handover;
    private final ChunkAssembler chunks = new ChunkAssembler();
    private final RangeComparison comparison;
    private final ReplicaMessageHandler messages;

    private Replica(ReplicaState state, boolean checkDisk, Duration now) {
        this.state = state;
        double rate = state.limits().bytesPerSecond();
        ByteRateLimiter sendLimiter = new ByteRateLimiter(rate, TRANSFER_BURST_BYTES, now);
        ByteRateLimiter receiveLimiter = new ByteRateLimiter(rate, TRANSFER_BURST_BYTES, now);
        diskCheck = new DiskFreshnessCheck(state, checkDisk, now);
        antiEntropy = new AntiEntropy(state.name(), state.entries(), receiveLimiter);
        handover = new EpochHandover(state, antiEntropy, diskCheck);
        comparison = new RangeComparison(state, antiEntropy);
        messages =
                new ReplicaMessageHandler(
                        state, antiEntropy, handover, diskCheck, comparison, chunks, sendLimiter);
    }

    /** A replica that goes on from what is on its disk. */
    public static Replica recover(
            String name, ReplicaSnapshot snapshot, ReplicaLimits limits, Duration now) {
        ReplicaState state =
                new ReplicaState(name, limits, snapshot.placement(), snapshot.changeNumber());
        snapshot.entries().forEach((token, entry) -> state.entries().put(token, entry, 0));
        state.entries().takeChangedTokens(); // they are on disk already
        state.unreliableRanges().addAll(snapshot.unreliableRanges());
        Replica replica = new Replica(state, snapshot.mayBeStale(), now);
        replica.handover.resume(snapshot.laggingRanges(), snapshot.forgottenRanges(), now);
        return replica;
    }

    /**
     * A replica without anything on disk, which may have forgotten claims that it granted.
     *
     * @param placement the epoch that it knows of
     * @param changeNumber a number above all that it may have sent before, or 0 where no peer can
     *     have heard of any
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
     * Returns what has to be on disk beside the entries before {@link #takeOutbound} may be sent;
     * without entries.
     */
    public ReplicaSnapshot metadataSnapshot() {
        LaggingRanges lagging = antiEntropy.lagging();
        return new ReplicaSnapshot(
                state.placement(),
                Map.of(),
                lagging.all(),
                lagging.forgotten(),
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

    /** Returns the messages that were decided on since the last call. */
    public List<OutboundMessage> takeOutbound() {
        return state.outbox().drain();
    }

    /** Returns the chunked results that have become complete since the last call. */
    public List<AssembledResult> takeAssembledResults() {
        return messages.takeAssembledResults();
    }

    /** Returns the epoch that the replica answers for. */
    public ReplicaPlacement placement() {
        return state.placement();
    }

    /** Returns how many of its ranges the replica does not have completely. */
    public int laggingRangeCount() {
        return antiEntropy.lagging().count();
    }

    /** Returns whether the replica does not have a range completely. */
    public boolean isLagging(int range) {
        return antiEntropy.lagging().contains(range);
    }

    /** Returns for how long the range that has lagged longest has done so. */
    public Duration oldestLag(Duration now) {
        return antiEntropy.lagging().oldestLag(now);
    }

    /** Returns whether the replica waits to hear whether its disk is as new as its last message. */
    public boolean isCheckingDisk() {
        return diskCheck.isInProgress();
    }

    /** Returns the number of the last change. */
    public long changeNumber() {
        return state.changeNumber();
    }

    /** Returns the number of a token's last change, 0 where nothing is known of it. */
    public long changeNumber(String token) {
        return state.entries().changeNumber(token);
    }

    /** Returns the entry of a token, an empty one where nothing is known of it. */
    public ReplicaEntry entry(String token) {
        return state.entries().get(token);
    }

    /** Returns the digest of a range's entries, equal where two replicas hold the same. */
    public long rangeDigest(int range) {
        return state.entries().rangeDigest(range);
    }

    /** Returns how many entries a range has. */
    public int entryCount(int range) {
        return state.entries().entryCount(range);
    }

    /** Returns the first tokens of a range, in their order, for the administrator's listing. */
    public List<TokenSummary> listTokens(int range, int limit) {
        return state.entries().summarize(range, limit);
    }

    /**
     * Returns tokens that came to have conflicting outcomes since the last call; some of them where
     * there are many.
     */
    public List<String> takeConflictingTokens() {
        return state.entries().takeConflictingTokens();
    }

    /** Returns the present figures. */
    public ReplicaStatistics statistics() {
        ReplicaEntries entries = state.entries();
        return new ReplicaStatistics(
                entries.size(),
                entries.estimatedBytes(),
                entries.conflictCount(),
                state.hints().count(),
                antiEntropy.receivedEntries(),
                antiEntropy.receivedBytes(),
                messages.sentBytes(),
                comparison.comparisons(),
                comparison.differences(),
                diskCheck.staleDisks());
    }

    /**
     * Adds an entry from storage that may lack others: what it holds is true, and makes no range
     * complete. An entry whose window has ended is ignored.
     */
    public void restore(String token, ReplicaEntry entry) {
        if (entry.expiresAt().compareTo(Duration.ZERO) > 0) {
            state.put(token, entry(token).merge(entry));
        }
    }

    /**
     * Takes note of the reachable servers, as the membership view has them, so that what others
     * miss is remembered.
     */
    public void observeLivePeers(Set<String> live) {
        state.hints().observeLivePeers(live, state.name(), state.placement());
    }

    /**
     * Adopts a later epoch: from here on the replica answers for no older one. An older epoch is
     * ignored.
     */
    public void adoptPlacement(ReplicaPlacement next, Duration now) {
        handover.adopt(next, now);
    }

    /**
     * Fetches what is lacking, at its rate, and removes expired entries. To be called some dozen
     * times a second.
     */
    public void tick(Duration now) {
        if (diskCheck.isInProgress()) {
            messages.checkDisk(now);
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

    /** Takes a message from another server; those that are not meant for a replica are ignored. */
    public void receive(String from, ReplicationMessage message, Duration now) {
        messages.receive(from, message, now);
    }

    /**
     * Records that the host has stored a chunked result, which makes its outcome count as stored.
     */
    public void resultStored(AssembledResult result) {
        messages.onResultStored(result);
    }

    /** Compares one range, drawn from all, with another replica of it. */
    public void compareRandomRange(RandomGenerator random) {
        comparison.compareRandomRange(random);
    }

    /**
     * Schedules a comparison of all ranges with all their other replicas, and returns how many
     * comparisons those are.
     */
    public int compareAllRanges() {
        return comparison.scheduleAll();
    }

    /**
     * Returns what decides the next steps, as text: equal texts behave alike. For state-space
     * exploration.
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
