package ochretiller.fleet.service;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.logging.Logger;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.replication.AssembledResult;
import ochretiller.fleet.replication.DurabilityBarrier;
import ochretiller.fleet.replication.OutboundMessage;
import ochretiller.fleet.replication.PendingWrite;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaLimits;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.replication.SubmittedChange;

/**
 * Runs this server's replica: passes it ticks and messages, and sends its messages once their
 * changes are durable. Without a storage the entries are in memory only, and a restarted replica
 * votes again after it has fetched them from other replicas. Confined to the event loop.
 */
final class ReplicaHost {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());

    /** Mean number of ticks between two comparisons of a range with another replica. */
    private static final int TICKS_PER_COMPARISON = 25;

    /** Maximum time between two writes of the metadata while entries change. */
    private static final Duration METADATA_INTERVAL = Duration.ofSeconds(1);

    private static final long NO_CHANGE_NUMBER = -1;
    private static final long CHANGE_NUMBERS_PER_MILLISECOND = 1000;

    private final FleetContext context;
    private final FleetLink link;
    private final ReplicaLimits limits;
    private final Optional<ReplicaStorage> storage;
    private final RecoveredReplica recoveredState;
    private final ResultCache results;
    private final Supplier<ReplicaMetadata> metadata;
    private final DurabilityBarrier barrier;
    private final ReplicaStatusLog statusLog = new ReplicaStatusLog();
    private Optional<Replica> replica = Optional.empty();
    private Duration metadataWrittenAt = Duration.ZERO;
    private long writtenChangeNumber = NO_CHANGE_NUMBER;

    /**
     * Recovers the replica of a previous process, if the storage has a complete one.
     *
     * @param maxWindow longest idempotency window
     * @param storage storage in a store that is not started yet; empty to use memory only
     * @param metadata returns the metadata that is written together with the placement
     */
    ReplicaHost(
            FleetContext context,
            FleetLink link,
            ReplicationSettings settings,
            Duration maxWindow,
            Optional<ReplicaStorage> storage,
            Supplier<ReplicaMetadata> metadata) {
        this.context = context;
        this.link = link;
        this.storage = storage;
        this.metadata = metadata;
        limits =
                new ReplicaLimits(
                        settings.maxEntries(),
                        settings.maxBytes(),
                        settings.antiEntropyBytesPerSecond(),
                        maxWindow);
        Duration now = context.scheduler().now();
        recoveredState = storage.map(opened -> opened.recover(now)).orElse(RecoveredReplica.EMPTY);
        results = new ResultCache(storage, settings.maxBytes() / 2);
        barrier = new DurabilityBarrier(context.random());
        recoveredState.snapshot().ifPresent(this::restore);
    }

    private void restore(ReplicaSnapshot snapshot) {
        Replica restored =
                Replica.recover(context.serverName(), snapshot, limits, context.scheduler().now());
        replica = Optional.of(restored);
        LOG.info(
                () ->
                        "fleet: recovered "
                                + restored.statistics().entries()
                                + " tokens of "
                                + restored.placement()
                                + ", "
                                + restored.laggingRangeCount()
                                + " ranges lagging; asking peers whether the disk lacks changes");
    }

    /** Returns the state that was found on the disk at the start. */
    RecoveredReplica recoveredState() {
        return recoveredState;
    }

    /** Returns the chunked results that the replica stores. */
    ResultCache results() {
        return results;
    }

    /** Returns the replica, or empty as long as no epoch is known. */
    Optional<Replica> replica() {
        return replica;
    }

    /** Returns the barrier that holds back messages until the changes before them are durable. */
    DurabilityBarrier barrier() {
        return barrier;
    }

    /** Returns the state of the disk as admin commands print it. */
    String diskState() {
        if (storage.isEmpty()) {
            return "none";
        }
        return barrier.isDegraded() ? "sick" : "well";
    }

    /** Adopts a committed placement; the first one creates the replica. */
    void adoptPlacement(ReplicaPlacement placement, Duration now) {
        if (replica.isPresent()) {
            replica.get().adoptPlacement(placement, now);
        } else {
            replica = Optional.of(create(placement, now));
        }
    }

    /**
     * Creates a replica whose change numbers exceed all that this server has ever used, unless its
     * wall clock was set back. In that case the next start treats its disk as stale, which is safe.
     */
    private Replica create(ReplicaPlacement placement, Duration now) {
        long clockNumber = System.currentTimeMillis() * CHANGE_NUMBERS_PER_MILLISECOND;
        long first = Math.max(recoveredState.changeNumber() + 1, clockNumber);
        Replica created = Replica.withoutDisk(context.serverName(), placement, first, limits, now);
        recoveredState.entries().forEach(created::restore);
        return created;
    }

    /** Ticks the replica, and at random ticks compares a range with another replica. */
    void tick(Duration now) {
        if (replica.isEmpty()) {
            return;
        }
        replica.get().tick(now);
        if (context.random().nextInt(TICKS_PER_COMPARISON) == 0) {
            replica.get().compareRandomRange(context.random());
        }
    }

    /** Passes the names of live servers to the replica and logs its conflicts. */
    void observeLivePeers(Set<String> live) {
        if (replica.isPresent()) {
            replica.get().observeLivePeers(live);
            statusLog.logConflicts(replica.get());
        }
    }

    /** Retries failed writes. */
    void retryWrites(Duration now) {
        if (storage.isPresent()) {
            barrier.retryWrites(now).forEach(this::write);
        }
    }

    /** Logs changes of the replica's status. */
    void logStatus(Duration now) {
        replica.ifPresent(existing -> statusLog.logChanges(existing, barrier, now));
    }

    /** Handles a message from another replica or from a coordinator. */
    void receive(String sender, ReplicationMessage message, Duration now) {
        replica.ifPresent(existing -> existing.receive(sender, message, now));
    }

    /** Stores assembled results and changed entries, and sends messages that may be sent. */
    void flush() {
        replica.ifPresent(this::flush);
    }

    private void flush(Replica source) {
        source.takeAssembledResults().forEach(result -> storeResult(source, result));
        List<String> changedTokens = source.takeChangedTokens();
        boolean isMetadataChanged = source.takeMetadataChanged();
        if (storage.isEmpty()) {
            sendAll(source.takeOutbound());
            return;
        }
        Duration now = context.scheduler().now();
        boolean isMetadataDue = isMetadataChanged || isMetadataStale(source, now);
        if (isMetadataDue) {
            metadataWrittenAt = now;
            writtenChangeNumber = source.changeNumber();
        }
        SubmittedChange submitted =
                barrier.submit(changedTokens, isMetadataDue, source.takeOutbound());
        submitted.writes().forEach(this::write);
        sendAll(submitted.sendableMessages());
    }

    /**
     * Returns whether the metadata must be rewritten to record the latest change number, since the
     * entries that also record it may all have expired by the next start.
     */
    private boolean isMetadataStale(Replica source, Duration now) {
        return now.minus(metadataWrittenAt).compareTo(METADATA_INTERVAL) >= 0
                && source.changeNumber() != writtenChangeNumber;
    }

    private void storeResult(Replica source, AssembledResult result) {
        results.put(
                result.token(),
                result.claimId(),
                result.result(),
                source.entry(result.token()).expiresAt(),
                context.scheduler().now(),
                isStored -> {
                    if (isStored && !link.isClosed()) {
                        source.recordResultStored(result);
                        flush();
                    }
                });
    }

    private void write(PendingWrite write) {
        ReplicaMetadata written = write.token().isEmpty() ? metadata.get() : ReplicaMetadata.NONE;
        storage.orElseThrow()
                .write(
                        write,
                        replica.orElseThrow(),
                        written,
                        context.scheduler().now(),
                        isDurable -> acknowledge(write, isDurable));
    }

    private void acknowledge(PendingWrite write, boolean isDurable) {
        if (!link.isClosed()) {
            sendAll(barrier.acknowledge(write, isDurable, context.scheduler().now()));
        }
    }

    private void sendAll(List<OutboundMessage> messages) {
        messages.forEach(each -> link.send(each.recipient(), each.message()));
    }
}
