package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicationMessage.TransferredEntry;

/**
 * Encodes and decodes the entries of a replica with their claims and outcomes, for packets and for
 * the replica's files. Stateless.
 */
public final class ReplicaEntryCodec {
    /** Maximum idempotency key length in bytes: a store key must also fit the claim ID. */
    private static final int MAX_TOKEN_BYTES = 200;

    private ReplicaEntryCodec() {}

    /** Returns whether an idempotency key is short enough to be replicated. */
    public static boolean canReplicateToken(String token) {
        return token.length() <= MAX_TOKEN_BYTES
                && token.getBytes(StandardCharsets.UTF_8).length <= MAX_TOKEN_BYTES;
    }

    /** Reads an idempotency key; rejects one that is longer than this version can store. */
    static String readToken(CborReader in) throws IOException {
        String token = in.readText();
        if (!canReplicateToken(token)) {
            throw new IllegalArgumentException(
                    "idempotency key exceeds " + MAX_TOKEN_BYTES + " bytes");
        }
        return token;
    }

    static void writeClaimId(CBORGenerator out, ClaimId id) throws IOException {
        out.writeString(id.server());
        out.writeNumber(id.incarnation());
        out.writeNumber(id.sequence());
    }

    static ClaimId readClaimId(CborReader in) throws IOException {
        return new ClaimId(in.readText(), in.readLong(), in.readLong());
    }

    static void writeDuration(CBORGenerator out, Duration duration) throws IOException {
        out.writeNumber(duration.toMillis());
    }

    /** Reads a duration in milliseconds; a negative one counts as zero. */
    static Duration readDuration(CborReader in) throws IOException {
        return Duration.ofMillis(Math.max(0, in.readLong()));
    }

    static void writeOutcome(CBORGenerator out, ClaimOutcome outcome) throws IOException {
        out.writeBoolean(outcome.succeeded());
        out.writeString(outcome.fingerprint());
        writeLatin1(out, outcome.result());
        out.writeNumber(outcome.resultSize());
        out.writeNumber(outcome.checksum());
        out.writeBoolean(outcome.resultPresent());
    }

    static ClaimOutcome readOutcome(CborReader in) throws IOException {
        ClaimOutcome outcome =
                new ClaimOutcome(
                        in.readBoolean(),
                        in.readText(),
                        readLatin1(in),
                        (int) in.readLong(),
                        in.readLong(),
                        in.readBoolean());
        if (outcome.resultSize() < 0 || outcome.resultSize() > ClaimOutcome.MAX_RESULT_BYTES) {
            throw new IllegalArgumentException(
                    "result size must be 0 to "
                            + ClaimOutcome.MAX_RESULT_BYTES
                            + " bytes: "
                            + outcome.resultSize());
        }
        return outcome;
    }

    /** Writes a text of ISO 8859-1 characters, each of which is one byte, as a byte string. */
    static void writeLatin1(CBORGenerator out, String text) throws IOException {
        out.writeBinary(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String readLatin1(CborReader in) throws IOException {
        return new String(in.readBytes(), StandardCharsets.ISO_8859_1);
    }

    static void writeEntries(CBORGenerator out, List<TransferredEntry> entries) throws IOException {
        CborWriter.writeList(out, entries, ReplicaEntryCodec::writeEntry);
    }

    static List<TransferredEntry> readEntries(CborReader in) throws IOException {
        return in.readList(() -> readEntryFields(in));
    }

    /** Writes an entry as an array. */
    public static void writeEntry(CBORGenerator out, TransferredEntry transferred)
            throws IOException {
        ReplicaEntry entry = transferred.entry();
        out.writeStartArray();
        out.writeString(transferred.token());
        writeDuration(out, transferred.remaining());
        CborWriter.writeList(out, entry.claims().entrySet(), ReplicaEntryCodec::writeClaim);
        CborWriter.writeList(out, entry.releasedClaims(), ReplicaEntryCodec::writeReleasedClaim);
        CborWriter.writeList(
                out, entry.outcomes().entrySet(), ReplicaEntryCodec::writeClaimOutcome);
        out.writeEndArray();
    }

    /** Reads an entry after the start of its array. */
    public static TransferredEntry readEntryFields(CborReader in) throws IOException {
        String token = readToken(in);
        Duration remaining = readDuration(in);
        Map<ClaimId, String> claims = readClaims(in);
        Set<ClaimId> releasedClaims = readReleasedClaims(in);
        Map<ClaimId, ClaimOutcome> outcomes = readClaimOutcomes(in);
        in.readEndArray();
        ReplicaEntry entry = new ReplicaEntry(claims, releasedClaims, outcomes, Duration.ZERO);
        return new TransferredEntry(token, entry, remaining);
    }

    private static void writeClaim(CBORGenerator out, Map.Entry<ClaimId, String> claim)
            throws IOException {
        out.writeStartArray();
        writeClaimId(out, claim.getKey());
        out.writeString(claim.getValue());
        out.writeEndArray();
    }

    private static Map<ClaimId, String> readClaims(CborReader in) throws IOException {
        Map<ClaimId, String> claims = new TreeMap<>();
        in.readList(
                () -> {
                    ClaimId id = readClaimId(in);
                    claims.put(id, in.readText());
                    in.readEndArray();
                    return id;
                });
        return claims;
    }

    private static void writeReleasedClaim(CBORGenerator out, ClaimId id) throws IOException {
        out.writeStartArray();
        writeClaimId(out, id);
        out.writeEndArray();
    }

    private static Set<ClaimId> readReleasedClaims(CborReader in) throws IOException {
        return new TreeSet<>(
                in.readList(
                        () -> {
                            ClaimId id = readClaimId(in);
                            in.readEndArray();
                            return id;
                        }));
    }

    private static void writeClaimOutcome(
            CBORGenerator out, Map.Entry<ClaimId, ClaimOutcome> outcome) throws IOException {
        out.writeStartArray();
        writeClaimId(out, outcome.getKey());
        writeOutcome(out, outcome.getValue());
        out.writeEndArray();
    }

    private static Map<ClaimId, ClaimOutcome> readClaimOutcomes(CborReader in) throws IOException {
        Map<ClaimId, ClaimOutcome> outcomes = new TreeMap<>();
        in.readList(
                () -> {
                    ClaimId id = readClaimId(in);
                    outcomes.put(id, readOutcome(in));
                    in.readEndArray();
                    return id;
                });
        return outcomes;
    }
}
