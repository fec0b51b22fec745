package ochretiller.audit.files;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.AuditEventKind;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.InvocationCounts;
import ochretiller.audit.KeyedRun;
import ochretiller.audit.VersionPeriod;

/**
 * Encodes and decodes records: an array in CBOR (RFC 8949), its kind first. Layout: {@code
 * docs/audit-format.md}, which golden files pin. Stateless; safe for any thread.
 */
final class AuditRecordCodec {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int VERSION_PERIOD = 1;
    private static final int EVENT = 2;
    private static final int KEYED_RUN = 3;
    private static final int MAX_OPERATIONS = 1_000;
    private static final int INITIAL_BYTES = 128;

    private AuditRecordCodec() {}

    static byte[] encode(AuditRecord record) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        try (CBORGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            if (record instanceof VersionPeriod period) {
                write(to, period);
            } else if (record instanceof AuditEvent event) {
                write(to, event);
            } else if (record instanceof KeyedRun run) {
                write(to, run);
            }
            to.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("a buffer in memory does not fail", e);
        }
        return out.toByteArray();
    }

    private static void write(CBORGenerator to, VersionPeriod period) throws IOException {
        to.writeNumber(VERSION_PERIOD);
        to.writeNumber(period.version());
        to.writeString(period.versionHash());
        to.writeNumber(period.startMillis());
        to.writeNumber(period.endMillis());
        to.writeNumber(period.monotonicMillis());
        to.writeStartArray();
        for (Map.Entry<String, InvocationCounts> operation :
                new TreeMap<>(period.operations()).entrySet()) {
            InvocationCounts counts = operation.getValue();
            to.writeString(operation.getKey());
            to.writeNumber(counts.received());
            to.writeNumber(counts.executed());
            to.writeNumber(counts.replayed());
            to.writeNumber(counts.throttled());
            to.writeNumber(counts.errored());
        }
        to.writeEndArray();
    }

    private static void write(CBORGenerator to, AuditEvent event) throws IOException {
        to.writeNumber(EVENT);
        to.writeNumber(event.kind().code());
        to.writeNumber(event.version());
        to.writeNumber(event.atMillis());
        to.writeString(event.text());
    }

    private static void write(CBORGenerator to, KeyedRun run) throws IOException {
        to.writeNumber(KEYED_RUN);
        to.writeNumber(run.version());
        to.writeNumber(run.atMillis());
        to.writeString(run.token());
    }

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException where the bytes are none, or one of a later release
     */
    static AuditRecord decode(byte[] bytes) {
        try (CBORParser in = CBOR.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                throw new IllegalArgumentException("no record");
            }
            return switch ((int) readNumber(in)) {
                case VERSION_PERIOD -> readVersionPeriod(in);
                case EVENT -> readEvent(in);
                case KEYED_RUN -> new KeyedRun(readNumber(in), readNumber(in), readText(in));
                default -> throw new IllegalArgumentException("a record of another kind");
            };
        } catch (IOException e) {
            throw new IllegalArgumentException("no record", e);
        }
    }

    private static VersionPeriod readVersionPeriod(CBORParser in) throws IOException {
        long version = readNumber(in);
        String versionHash = readText(in);
        long startMillis = readNumber(in);
        long endMillis = readNumber(in);
        long monotonicMillis = readNumber(in);
        return new VersionPeriod(
                version, versionHash, startMillis, endMillis, monotonicMillis, readOperations(in));
    }

    private static Map<String, InvocationCounts> readOperations(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.START_ARRAY) {
            throw new IllegalArgumentException("no operations");
        }
        Map<String, InvocationCounts> operations = new TreeMap<>();
        while (in.nextToken() == JsonToken.VALUE_STRING && operations.size() < MAX_OPERATIONS) {
            String name = in.getText();
            long received = readNumber(in);
            long executed = readNumber(in);
            long replayed = readNumber(in);
            long throttled = readNumber(in);
            long errored = readNumber(in);
            operations.put(
                    name, new InvocationCounts(received, executed, replayed, throttled, errored));
        }
        return operations;
    }

    private static AuditEvent readEvent(CBORParser in) throws IOException {
        AuditEventKind kind =
                AuditEventKind.ofCode(readNumber(in))
                        .orElseThrow(
                                () -> new IllegalArgumentException("an event of another kind"));
        return new AuditEvent(kind, readNumber(in), readNumber(in), readText(in));
    }

    private static long readNumber(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("no number");
        }
        return in.getLongValue();
    }

    private static String readText(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("no text");
        }
        return in.getText();
    }
}
