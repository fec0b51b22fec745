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
 * Encodes and decodes records as CBOR arrays (RFC 8949) that start with the kind. {@code
 * docs/audit-format.md} specifies the layout; golden files pin it. Stateless and thread-safe.
 */
final class AuditRecordCodec {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int VERSION_PERIOD = 1;
    private static final int EVENT = 2;
    private static final int KEYED_RUN = 3;
    private static final int MAX_OPERATIONS = 1_000;
    private static final int INITIAL_BUFFER_BYTES = 128;

    private AuditRecordCodec() {}

    static byte[] encode(AuditRecord record) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            if (record instanceof VersionPeriod period) {
                write(generator, period);
            } else if (record instanceof AuditEvent event) {
                write(generator, event);
            } else if (record instanceof KeyedRun run) {
                write(generator, run);
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("I/O error on an in-memory buffer", e);
        }
        return out.toByteArray();
    }

    private static void write(CBORGenerator out, VersionPeriod period) throws IOException {
        out.writeNumber(VERSION_PERIOD);
        out.writeNumber(period.version());
        out.writeString(period.versionHash());
        out.writeNumber(period.startMillis());
        out.writeNumber(period.endMillis());
        out.writeNumber(period.monotonicMillis());
        out.writeStartArray();
        for (Map.Entry<String, InvocationCounts> operation :
                new TreeMap<>(period.operations()).entrySet()) {
            InvocationCounts counts = operation.getValue();
            out.writeString(operation.getKey());
            out.writeNumber(counts.received());
            out.writeNumber(counts.executed());
            out.writeNumber(counts.replayed());
            out.writeNumber(counts.throttled());
            out.writeNumber(counts.errored());
        }
        out.writeEndArray();
    }

    private static void write(CBORGenerator out, AuditEvent event) throws IOException {
        out.writeNumber(EVENT);
        out.writeNumber(event.kind().code());
        out.writeNumber(event.version());
        out.writeNumber(event.atMillis());
        out.writeString(event.text());
    }

    private static void write(CBORGenerator out, KeyedRun run) throws IOException {
        out.writeNumber(KEYED_RUN);
        out.writeNumber(run.version());
        out.writeNumber(run.atMillis());
        out.writeString(run.token());
    }

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException if the bytes are not a record that this release knows
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
