package ochretiller.fleet.service;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.PendingWrite;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.transport.CborWriter;
import ochretiller.fleet.transport.PlacementCodec;
import ochretiller.fleet.transport.ReplicaEntryCodec;
import ochretiller.store.AppendResult;
import ochretiller.store.Store;

/**
 * Stores a replica's entries, metadata and chunked results in the store of idempotency records.
 * Their keys begin with bytes that never occur in UTF-8, so that they cannot equal a token. {@code
 * docs/store-format.md} specifies the values.
 *
 * <p>Confined to the event loop, which also runs the completions of writes.
 */
public final class ReplicaStorage {
    /** First byte of the keys of entries and of the metadata key. */
    static final byte ENTRY_KEY_PREFIX = (byte) 0xFF;

    /** First byte of the keys of chunked results. */
    static final byte RESULT_KEY_PREFIX = (byte) 0xFE;

    private static final CBORFactory CBOR = new CBORFactory();
    private static final byte[] METADATA_KEY = {ENTRY_KEY_PREFIX, 0};
    private static final byte[] NO_FINGERPRINT = {};
    private static final int TYPICAL_VALUE_BYTES = 256;

    private final Store store;
    private final Duration maxLifetime;

    /**
     * Creates the storage in a store that has not been started yet.
     *
     * @param maxLifetime longest lifetime that the store accepts
     */
    ReplicaStorage(Store store, Duration maxLifetime) {
        this.store = store;
        this.maxLifetime = maxLifetime;
    }

    /** Recovers the state of a previous process; must be called before the store is started. */
    RecoveredReplica recover(Duration now) {
        return new ReplicaRecovery(store, now).recover();
    }

    static boolean isMetadataKey(byte[] key) {
        return key.length == METADATA_KEY.length && key[1] == METADATA_KEY[1];
    }

    /**
     * Writes the current state of an entry, or the metadata if the write names no token.
     *
     * @param completion called with whether the write is durable
     */
    void write(
            PendingWrite write,
            Replica replica,
            ReplicaMetadata metadata,
            Duration now,
            Consumer<Boolean> completion) {
        if (write.token().isEmpty()) {
            writeMetadata(replica.metadataSnapshot(), metadata, completion);
        } else {
            writeEntry(write.token().get(), replica, now, completion);
        }
    }

    private void writeMetadata(
            ReplicaSnapshot snapshot, ReplicaMetadata metadata, Consumer<Boolean> completion) {
        byte[] value = encode(out -> writeMetadata(out, snapshot, metadata));
        long expiresAtMillis = store.nowMillis() + maxLifetime.toMillis() - 1;
        put(METADATA_KEY, value, expiresAtMillis, completion);
    }

    private static void writeMetadata(
            CBORGenerator out, ReplicaSnapshot snapshot, ReplicaMetadata metadata)
            throws IOException {
        out.writeNumber(snapshot.changeNumber());
        PlacementCodec.writePlacement(out, snapshot.placement());
        writeRanges(out, snapshot.laggingRanges());
        writeRanges(out, snapshot.lostGrantRanges());
        writeRanges(out, snapshot.unreliableRanges());
        CborWriter.writeNumbersByName(out, metadata.observedChangeNumbers());
        CborWriter.writeLongs(out, metadata.incarnations());
    }

    private static void writeRanges(CBORGenerator out, Set<Integer> ranges) throws IOException {
        CborWriter.writeLongs(out, ranges.stream().map(Integer::longValue).toList());
    }

    private void writeEntry(
            String token, Replica replica, Duration now, Consumer<Boolean> completion) {
        ReplicaEntry entry = replica.entry(token);
        long changeNumber = replica.changeNumber(token);
        Duration remaining = entry.expiresAt().minus(now);
        ReplicationMessage.TransferredEntry transferred =
                new ReplicationMessage.TransferredEntry(
                        token, entry, remaining.isNegative() ? Duration.ZERO : remaining);
        byte[] value =
                encode(
                        out -> {
                            out.writeNumber(changeNumber);
                            ReplicaEntryCodec.writeEntry(out, transferred);
                        });
        put(key(ENTRY_KEY_PREFIX, token), value, expiryMillis(entry.expiresAt(), now), completion);
    }

    /**
     * Stores a chunked result as a whole until its entry expires.
     *
     * @param completion called with whether the write is durable
     */
    void storeResult(
            String token,
            ClaimId claimId,
            byte[] result,
            Duration expiresAt,
            Duration now,
            Consumer<Boolean> completion) {
        put(resultKey(token, claimId), result, expiryMillis(expiresAt, now), completion);
    }

    /**
     * Reads the whole of a chunked result.
     *
     * @param completion called with the result, or empty if there is none
     */
    void readResult(String token, ClaimId claimId, Consumer<Optional<byte[]>> completion) {
        store.read(resultKey(token, claimId), completion);
    }

    private void put(byte[] key, byte[] value, long expiresAtMillis, Consumer<Boolean> completion) {
        store.put(
                key,
                NO_FINGERPRINT,
                value,
                expiresAtMillis,
                result -> completion.accept(result == AppendResult.DURABLE));
    }

    /** Returns the expiry on the store's clock, capped because a peer may report any window. */
    private long expiryMillis(Duration expiresAt, Duration now) {
        long remainingMillis = expiresAt.minus(now).toMillis();
        long maxMillis = maxLifetime.toMillis() - 1;
        return store.nowMillis() + Math.max(1, Math.min(remainingMillis, maxMillis));
    }

    private static byte[] resultKey(String token, ClaimId claimId) {
        return key(RESULT_KEY_PREFIX, token + ' ' + claimId);
    }

    private static byte[] key(byte prefix, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] key = new byte[1 + bytes.length];
        key[0] = prefix;
        System.arraycopy(bytes, 0, key, 1, bytes.length);
        return key;
    }

    private static byte[] encode(ChecksummedFile.ContentWriter writer) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(TYPICAL_VALUE_BYTES);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            writer.write(generator);
            generator.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing CBOR to memory failed", e);
        }
        return out.toByteArray();
    }

    /** Describes a replica's key to operators who inspect a store; empty for other keys. */
    public static Optional<String> describeKey(byte[] key) {
        boolean isReplicaKey =
                key.length >= METADATA_KEY.length
                        && (key[0] == ENTRY_KEY_PREFIX || key[0] == RESULT_KEY_PREFIX);
        if (!isReplicaKey) {
            return Optional.empty();
        }
        String text = new String(key, 1, key.length - 1, StandardCharsets.UTF_8);
        if (key[0] == RESULT_KEY_PREFIX) {
            return Optional.of("a long result kept for the fleet: " + text);
        }
        if (isMetadataKey(key)) {
            return Optional.of("this server's place in its fleet");
        }
        return Optional.of("kept for the fleet: " + text);
    }
}
