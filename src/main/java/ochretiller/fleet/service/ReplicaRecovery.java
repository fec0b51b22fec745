package ochretiller.fleet.service;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.logging.Logger;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.transport.CborReader;
import ochretiller.fleet.transport.PlacementCodec;
import ochretiller.fleet.transport.ReplicaEntryCodec;
import ochretiller.store.Store;

/**
 * Recovers the state of a replica of a previous process from the store, before the store is
 * started. Used once, on the thread that starts the server.
 */
final class ReplicaRecovery {
    private static final Logger LOG = Logger.getLogger(ReplicaStorage.class.getName());

    private final Store store;
    private final Duration now;
    private final long storeNowMillis;
    private final Map<String, ReplicaEntry> entries = new TreeMap<>();
    private Optional<ReplicaSnapshot> storedSnapshot = Optional.empty();
    private ReplicaMetadata metadata = ReplicaMetadata.NONE;
    private long changeNumber;
    private boolean isComplete;

    /**
     * Prepares a recovery.
     *
     * @param now current time of the event loop, to which entries' expiry is converted
     */
    ReplicaRecovery(Store store, Duration now) {
        this.store = store;
        this.now = now;
        this.storeNowMillis = store.nowMillis();
        this.isComplete = store.timeUntilComplete().isZero();
    }

    /** Reads all entries and the metadata. */
    RecoveredReplica recover() {
        try {
            store.forEachValue(ReplicaStorage.ENTRY_KEY_PREFIX, this::recoverValue);
        } catch (IOException e) {
            isComplete = false;
            LOG.warning("fleet: cannot read the replica's entries: " + e.getMessage());
        }
        if (!isComplete && storedSnapshot.isPresent()) {
            LOG.severe(
                    "fleet: the replica's entries on disk may be incomplete; fetching them from"
                            + " other replicas");
        }
        return new RecoveredReplica(snapshot(), entries, changeNumber, metadata);
    }

    private void recoverValue(byte[] key, byte[] value, long expiresAtMillis) {
        try (CborReader in = CborReader.of(value, 0, value.length)) {
            in.readStartArray();
            changeNumber = Math.max(changeNumber, in.readLong());
            if (ReplicaStorage.isMetadataKey(key)) {
                recoverMetadata(in);
            } else {
                recoverEntry(in, expiresAtMillis);
            }
        } catch (IOException | IllegalArgumentException e) {
            // The checksum matched, so the value was written in a format unknown to this build.
            isComplete = false;
        }
    }

    private void recoverMetadata(CborReader in) throws IOException {
        storedSnapshot =
                Optional.of(
                        new ReplicaSnapshot(
                                PlacementCodec.readPlacement(in),
                                Map.of(),
                                new HashSet<>(in.readInts()),
                                new HashSet<>(in.readInts()),
                                new HashSet<>(in.readInts()),
                                0,
                                true));
        metadata = new ReplicaMetadata(in.readNumbersByName(), in.readLongs());
    }

    private void recoverEntry(CborReader in, long expiresAtMillis) throws IOException {
        in.readStartArray();
        ReplicationMessage.TransferredEntry stored = ReplicaEntryCodec.readEntryFields(in);
        ReplicaEntry entry =
                new ReplicaEntry(
                        stored.entry().claims(),
                        stored.entry().releasedClaims(),
                        stored.entry().outcomes(),
                        now.plusMillis(expiresAtMillis - storeNowMillis));
        entries.put(stored.token(), entry);
    }

    private Optional<ReplicaSnapshot> snapshot() {
        if (!isComplete) {
            return Optional.empty();
        }
        return storedSnapshot.map(
                stored ->
                        new ReplicaSnapshot(
                                stored.placement(),
                                entries,
                                stored.laggingRanges(),
                                stored.lostGrantRanges(),
                                stored.unreliableRanges(),
                                changeNumber,
                                true));
    }
}
