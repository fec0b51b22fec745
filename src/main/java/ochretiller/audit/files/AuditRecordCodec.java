package ochretiller.audit.files;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import ochretiller.audit.AuditRecord;

/** Records as bytes: an array in CBOR, its kind first. */
final class AuditRecordCodec {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int SPAN = 1;
    private static final int EVENT = 2;
    private static final int RUN = 3;
    private static final int MOST_OPERATIONS = 1_000;
    private static final AuditRecord.AuditEventKind[] KINDS = AuditRecord.AuditEventKind.values();

    private AuditRecordCodec() {}

    static byte[] encode(AuditRecord entry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (CBORGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            if (entry instanceof AuditRecord.VersionPeriod span) {
                to.writeNumber(SPAN);
                to.writeNumber(span.version());
                to.writeString(span.versionHash());
                to.writeNumber(span.startMillis());
                to.writeNumber(span.endMillis());
                to.writeNumber(span.monotonicMillis());
                to.writeStartArray();
                for (Map.Entry<String, AuditRecord.InvocationCounts> each :
                        new TreeMap<>(span.operations()).entrySet()) {
                    to.writeString(each.getKey());
                    to.writeNumber(each.getValue().received());
                    to.writeNumber(each.getValue().executed());
                    to.writeNumber(each.getValue().replayed());
                    to.writeNumber(each.getValue().throttled());
                    to.writeNumber(each.getValue().errored());
                }
                to.writeEndArray();
            } else if (entry instanceof AuditRecord.AuditEvent event) {
                to.writeNumber(EVENT);
                to.writeNumber(event.kind().ordinal());
                to.writeNumber(event.version());
                to.writeNumber(event.atMillis());
                to.writeString(event.text());
            } else if (entry instanceof AuditRecord.KeyedRun run) {
                to.writeNumber(RUN);
                to.writeNumber(run.version());
                to.writeNumber(run.atMillis());
                to.writeString(run.token());
            }
            to.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a buffer in memory does not fail
        }
        return out.toByteArray();
    }

    /** The record of these bytes; an {@link IllegalArgumentException} for what is none. */
    static AuditRecord decode(byte[] bytes) {
        try (CBORParser in = CBOR.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                throw new IllegalArgumentException("no record");
            }
            return switch ((int) number(in)) {
                case SPAN ->
                        new AuditRecord.VersionPeriod(
                                number(in),
                                text(in),
                                number(in),
                                number(in),
                                number(in),
                                operations(in));
                case EVENT -> event(in);
                case RUN -> new AuditRecord.KeyedRun(number(in), number(in), text(in));
                default -> throw new IllegalArgumentException("a record of another kind");
            };
        } catch (IOException e) {
            throw new IllegalArgumentException("no record");
        }
    }

    private static AuditRecord event(CBORParser in) throws IOException {
        long kind = number(in);
        if (kind < 0 || kind >= KINDS.length) {
            throw new IllegalArgumentException("an event of another kind");
        }
        return new AuditRecord.AuditEvent(KINDS[(int) kind], number(in), number(in), text(in));
    }

    private static Map<String, AuditRecord.InvocationCounts> operations(CBORParser in)
            throws IOException {
        if (in.nextToken() != JsonToken.START_ARRAY) {
            throw new IllegalArgumentException("no operations");
        }
        Map<String, AuditRecord.InvocationCounts> all = new TreeMap<>();
        while (in.nextToken() == JsonToken.VALUE_STRING && all.size() < MOST_OPERATIONS) {
            all.put(
                    in.getText(),
                    new AuditRecord.InvocationCounts(
                            number(in), number(in), number(in), number(in), number(in)));
        }
        return all;
    }

    private static long number(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("no number");
        }
        return in.getLongValue();
    }

    private static String text(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("no text");
        }
        return in.getText();
    }
}
