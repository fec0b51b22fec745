package ochretiller.fleet.service;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.logging.Logger;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.PendingWrite;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.transport.PacketCodec;
import ochretiller.fleet.transport.ReplicationCodec;
import ochretiller.store.AppendResult;
import ochretiller.store.Store;

/**
 * A keeper's entries in the store of remembered results, in a space of their own: keys that no
 * token can have begin with these bytes. {@code docs/store-format.md} has the values.
 */
public final class ReplicaStorage {
    /** No UTF-8 text begins with either. */
    static final byte ENTRIES = (byte) 0xFF;

    static final byte RESULTS = (byte) 0xFE;
    private static final Logger LOG = Logger.getLogger(ReplicaStorage.class.getName());
    private static final CBORFactory CBOR = new CBORFactory();
    private static final byte[] PLACE = {ENTRIES, 0};
    private static final byte[] NONE = {};

    private final Store store;
    private final Duration longest;

    /**
     * What a start has found.
     *
     * @param disk null where there is nothing, or what is there may lack something
     * @param entries what is there in any case: each of them is true
     * @param place what else is there
     */
    record Found(
            ReplicaSnapshot disk, Map<String, ReplicaEntry> entries, long number, Place place) {}

    /**
     * What goes with a keeper's place.
     *
     * @param heard numbers of others' changes that this server has heard of
     * @param starts of this server's processes that had this disk, the last of them
     */
    record Place(Map<String, Long> heard, List<Long> starts) {
        static final Place NONE = new Place(Map.of(), List.of());
    }

    /**
     * @param longest the longest life of an entry
     */
    ReplicaStorage(Store store, Duration longest) {
        this.store = store;
        this.longest = longest;
    }

    /** What a former process has left, before the store is started. */
    Found read(Duration now) {
        Map<String, ReplicaEntry> entries = new TreeMap<>();
        ReplicaSnapshot[] place = {null};
        Place[] with = {Place.NONE};
        long[] number = {0};
        long storeNow = store.nowMillis();
        boolean[] good = {store.incompleteFor().isZero()};
        try {
            store.forEachValue(
                    ENTRIES,
                    (key, value, expires) -> {
                        try (CBORParser in = CBOR.createParser(value)) {
                            PacketCodec.start(in);
                            number[0] = Math.max(number[0], PacketCodec.number(in));
                            if (key.length == PLACE.length && key[1] == PLACE[1]) {
                                place[0] =
                                        new ReplicaSnapshot(
                                                ReplicationCodec.layout(in),
                                                Map.of(),
                                                ranges(in),
                                                ranges(in),
                                                ranges(in),
                                                0,
                                                true);
                                with[0] =
                                        new Place(
                                                ReplicationCodec.heard(in),
                                                PacketCodec.numbers(in));
                                return;
                            }
                            PacketCodec.start(in);
                            ReplicationMessage.TransferredEntry item = ReplicationCodec.item(in);
                            entries.put(
                                    item.token(),
                                    new ReplicaEntry(
                                            item.entry().claims(),
                                            item.entry().releasedClaims(),
                                            item.entry().outcomes(),
                                            now.plusMillis(expires - storeNow)));
                        } catch (IOException | IllegalArgumentException e) {
                            good[0] = false; // whole by its sum, and not as this program writes it
                        }
                    });
        } catch (IOException e) {
            good[0] = false;
            LOG.warning("the keeper's entries cannot be read: " + e.getMessage());
        }
        if (!good[0] && place[0] != null) {
            LOG.severe(
                    "fleet: what this server kept may lack something, and is fetched from the"
                            + " others");
        }
        ReplicaSnapshot disk =
                place[0] == null || !good[0]
                        ? null
                        : new ReplicaSnapshot(
                                place[0].placement(),
                                entries,
                                place[0].laggingRanges(),
                                place[0].forgottenRanges(),
                                place[0].unreliableRanges(),
                                number[0],
                                true);
        return new Found(disk, entries, number[0], with[0]);
    }

    private static Set<Integer> ranges(CBORParser in) throws IOException {
        return new HashSet<>(PacketCodec.list(in, in::getIntValue));
    }

    private static void ranges(CBORGenerator to, Set<Integer> ranges) throws IOException {
        PacketCodec.numbers(to, ranges.stream().map(Integer::longValue).toList());
    }

    private static byte[] key(byte space, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] key = new byte[1 + bytes.length];
        key[0] = space;
        System.arraycopy(bytes, 0, key, 1, bytes.length);
        return key;
    }

    private long expires(Duration until, Duration now) {
        // No life is longer than the store allows, whatever a peer has said.
        return store.nowMillis()
                + Math.max(1, Math.min(until.minus(now).toMillis(), longest.toMillis() - 1));
    }

    /** Writes what the keeper has now; {@code then} is told whether that is durable. */
    void write(
            PendingWrite write, Replica keeper, Place with, Duration now, Consumer<Boolean> then) {
        if (write.token().isEmpty()) {
            ReplicaSnapshot place = keeper.metadataSnapshot();
            store.put(
                    PLACE,
                    NONE,
                    bytes(
                            to -> {
                                to.writeNumber(place.changeNumber());
                                ReplicationCodec.layout(to, place.placement());
                                ranges(to, place.laggingRanges());
                                ranges(to, place.forgottenRanges());
                                ranges(to, place.unreliableRanges());
                                ReplicationCodec.heard(to, with.heard());
                                PacketCodec.numbers(to, with.starts());
                            }),
                    store.nowMillis() + longest.toMillis() - 1,
                    ack -> then.accept(ack == AppendResult.DURABLE));
            return;
        }
        String token = write.token().get();
        ReplicaEntry entry = keeper.entry(token);
        long number = keeper.changeNumber(token);
        Duration left = entry.expiresAt().minus(now);
        store.put(
                key(ENTRIES, token),
                NONE,
                bytes(
                        to -> {
                            to.writeNumber(number);
                            ReplicationCodec.item(
                                    to,
                                    new ReplicationMessage.TransferredEntry(
                                            token,
                                            entry,
                                            left.isNegative() ? Duration.ZERO : left));
                        }),
                expires(entry.expiresAt(), now),
                ack -> then.accept(ack == AppendResult.DURABLE));
    }

    /** Keeps a long result as long as its entry. */
    void keep(
            String token,
            ClaimId id,
            byte[] result,
            Duration until,
            Duration now,
            Consumer<Boolean> then) {
        store.put(
                key(RESULTS, token + ' ' + id),
                NONE,
                result,
                expires(until, now),
                ack -> then.accept(ack == AppendResult.DURABLE));
    }

    void result(String token, ClaimId id, Consumer<byte[]> then) {
        store.read(key(RESULTS, token + ' ' + id), value -> then.accept(value.orElse(null)));
    }

    @FunctionalInterface
    private interface Writes {
        void to(CBORGenerator out) throws IOException;
    }

    private static byte[] bytes(Writes writes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (CBORGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            writes.to(to);
            to.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a buffer in memory does not fail
        }
        return out.toByteArray();
    }

    /**
     * What a key of these spaces is about, for those who look at a store from outside; null for a
     * key of another space.
     */
    public static String about(byte[] key) {
        if (key.length < PLACE.length || key[0] != ENTRIES && key[0] != RESULTS) {
            return null;
        }
        String text = new String(key, 1, key.length - 1, StandardCharsets.UTF_8);
        if (key[0] == RESULTS) {
            return "a long result kept for the fleet: " + text;
        }
        return key.length == PLACE.length && key[1] == PLACE[1]
                ? "this server's place in its fleet"
                : "kept for the fleet: " + text;
    }
}
