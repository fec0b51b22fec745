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
 * Runs this server's replica: gives it time and messages, and sends its messages once the changes
 * that they rest on are durable. Without a storage the entries are in memory, and a replica that
 * was restarted counts again once others have filled it. On the event loop.
 */
final class ReplicaHost {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());

    /** One of so many ticks compares a range with another replica. */
    private static final int TICKS_PER_COMPARISON = 25;

    /** While entries change, the metadata is written at least so often. */
    private static final Duration METADATA_INTERVAL = Duration.ofSeconds(1);

    private static final long NO_CHANGE_NUMBER = -1;
    private static final long CHANGE_NUMBERS_PER_MILLISECOND = 1000;

    private final FleetContext context;
    private final FleetLink link;
    private final ReplicaLimits limits;
    private final Optional<ReplicaStorage> storage;
    private final RecoveredReplica recovered;
    private final ResultCache results;
    private final Supplier<ReplicaMetadata> metadata;
    private final DurabilityBarrier barrier;
    private final ReplicaStatusLog statusLog = new ReplicaStatusLog();
    private Optional<Replica> replica = Optional.empty();
    private Duration metadataWrittenAt = Duration.ZERO;
    private long writtenChangeNumber = NO_CHANGE_NUMBER;

    /**
     * Recovers the replica of a previous process, if the storage has one that may be used.
     *
     * @param maxWindow longest idempotency window
     * @param storage of a store that is not started yet
     * @param metadata returns what is written beside the placement
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
        recovered = storage.map(present -> present.recover(now)).orElse(RecoveredReplica.NOTHING);
        results = new ResultCache(storage, settings.maxBytes() / 2);
        barrier = new DurabilityBarrier(context.random());
        recovered.snapshot().ifPresent(this::restore);
    }

    private void restore(ReplicaSnapshot snapshot) {
        Replica restored =
                Replica.recover(context.serverName(), snapshot, limits, context.scheduler().now());
        replica = Optional.of(restored);
        LOG.info(
                () ->
                        "fleet: kept "
                                + restored.statistics().entries()
                                + " tokens of "
                                + restored.placement()
                                + ", "
                                + restored.laggingRangeCount()
                                + " ranges behind; asks the others whether it missed any");
    }

    /** Returns what the disk had at the start. */
    RecoveredReplica recovered() {
        return recovered;
    }

    /** Returns the long results that the replica keeps. */
    ResultCache results() {
        return results;
    }

    /** Returns the replica, or nothing as long as no epoch is known. */
    Optional<Replica> replica() {
        return replica;
    }

    /** Returns what keeps the replica's messages back until its changes are durable. */
    DurabilityBarrier barrier() {
        return barrier;
    }

    /** Returns the state of the disk in the word that the operators' commands print. */
    String diskState() {
        if (storage.isEmpty()) {
            return "none";
        }
        return barrier.isDegraded() ? "sick" : "well";
    }

    /** Takes a placement that has been committed; the first one creates the replica. */
    void adoptPlacement(ReplicaPlacement placement, Duration now) {
        if (replica.isPresent()) {
            replica.get().adoptPlacement(placement, now);
        } else {
            replica = Optional.of(create(placement, now));
        }
    }

    /**
     * Change numbers begin above all that this server has ever used, as long as its clock is not
     * set back; if it is, the next start finds its disk stale, without harm.
     */
    private Replica create(ReplicaPlacement placement, Duration now) {
        long clockNumber = System.currentTimeMillis() * CHANGE_NUMBERS_PER_MILLISECOND;
        long first = Math.max(recovered.changeNumber() + 1, clockNumber);
        Replica created = Replica.withoutDisk(context.serverName(), placement, first, limits, now);
        recovered.entries().forEach(created::restore);
        return created;
    }

    /** Gives the replica time, and sometimes compares a range with another replica. */
    void tick(Duration now) {
        if (replica.isEmpty()) {
            return;
        }
        replica.get().tick(now);
        if (context.random().nextInt(TICKS_PER_COMPARISON) == 0) {
            replica.get().compareRandomRange(context.random());
        }
    }

    /** Tells the replica which servers are live, and reports its conflicts. */
    void observeLivePeers(Set<String> live) {
        if (replica.isPresent()) {
            replica.get().observeLivePeers(live);
            statusLog.reportConflicts(replica.get());
        }
    }

    /** Repeats writes that have failed. */
    void retryWrites(Duration now) {
        if (storage.isPresent()) {
            barrier.retryWrites(now).forEach(this::write);
        }
    }

    /** Writes log lines about what has changed. */
    void logStatus(Duration now) {
        replica.ifPresent(present -> statusLog.update(present, barrier, now));
    }

    /** Takes a message of another replica or of a coordinator. */
    void receive(String sender, ReplicationMessage message, Duration now) {
        replica.ifPresent(present -> present.receive(sender, message, now));
    }

    /** Stores what the replica has assembled and changed, and sends its messages. */
    void publish() {
        replica.ifPresent(this::publish);
    }

    private void publish(Replica present) {
        present.takeAssembledResults().forEach(result -> storeResult(present, result));
        List<String> changedTokens = present.takeChangedTokens();
        boolean isMetadataChanged = present.takeMetadataChanged();
        if (storage.isEmpty()) {
            sendAll(present.takeOutbound());
            return;
        }
        Duration now = context.scheduler().now();
        boolean isMetadataDue = isMetadataChanged || isMetadataStale(present, now);
        if (isMetadataDue) {
            metadataWrittenAt = now;
            writtenChangeNumber = present.changeNumber();
        }
        SubmittedChange submitted =
                barrier.submit(changedTokens, isMetadataDue, present.takeOutbound());
        submitted.writes().forEach(this::write);
        sendAll(submitted.sendable());
    }

    /**
     * Entries expire: without the metadata a start would not know how far the replica had come when
     * all that it wrote since is gone.
     */
    private boolean isMetadataStale(Replica present, Duration now) {
        return now.minus(metadataWrittenAt).compareTo(METADATA_INTERVAL) >= 0
                && present.changeNumber() != writtenChangeNumber;
    }

    private void storeResult(Replica present, AssembledResult result) {
        results.put(
                result.token(),
                result.claimId(),
                result.result(),
                present.entry(result.token()).expiresAt(),
                context.scheduler().now(),
                isStored -> {
                    if (isStored && !link.isClosed()) {
                        present.resultStored(result);
                        publish();
                    }
                });
    }

    private void write(PendingWrite write) {
        ReplicaMetadata beside = write.token().isEmpty() ? metadata.get() : ReplicaMetadata.NONE;
        storage.orElseThrow()
                .write(
                        write,
                        replica.orElseThrow(),
                        beside,
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
