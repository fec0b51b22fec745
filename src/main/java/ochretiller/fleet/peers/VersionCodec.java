package ochretiller.fleet.peers;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.util.List;
import ochretiller.fleet.versions.Counts;
import ochretiller.fleet.versions.Report;
import ochretiller.fleet.versions.VersionMessage;

/**
 * Bodies of what is said about versions, kinds 48 to 63 of the envelope; {@code
 * docs/fleet-wire.md}.
 */
final class VersionCodec {
    private static final int FIRST = 48;
    private static final List<Class<?>> KINDS =
            List.of(
                    VersionMessage.Tell.class,
                    VersionMessage.Renewed.class,
                    VersionMessage.WantBytes.class,
                    VersionMessage.Bytes.class,
                    VersionMessage.Offer.class,
                    VersionMessage.Have.class);

    private VersionCodec() {}

    static int kind(Object message) {
        return FIRST + KINDS.indexOf(message.getClass());
    }

    static boolean knows(long kind) {
        return kind >= FIRST && kind < FIRST + KINDS.size();
    }

    static void write(CBORGenerator to, VersionMessage message) throws IOException {
        to.writeStartArray();
        if (message instanceof VersionMessage.Tell m) {
            to.writeNumber(m.question());
            to.writeNumber(m.report().acts());
            to.writeString(m.report().hash());
            to.writeNumber(m.report().refused());
            to.writeString(m.report().why());
            to.writeNumber(m.report().about());
            counts(to, m.report().on());
            counts(to, m.report().before());
            to.writeNumber(m.audited());
            to.writeString(m.auditHash());
        } else if (message instanceof VersionMessage.Renewed m) {
            to.writeNumber(m.question());
            to.writeBoolean(m.may());
        } else if (message instanceof VersionMessage.WantBytes m) {
            to.writeString(m.hash());
            to.writeNumber(m.from());
        } else if (message instanceof VersionMessage.Bytes m) {
            to.writeString(m.hash());
            to.writeNumber(m.from());
            to.writeBinary(m.bytes());
        } else if (message instanceof VersionMessage.Offer m) {
            to.writeString(m.hash());
            to.writeNumber(m.size());
        } else if (message instanceof VersionMessage.Have m) {
            to.writeString(m.hash());
        }
        to.writeEndArray();
    }

    static VersionMessage read(CBORParser in, int kind) throws IOException {
        Codec.start(in);
        VersionMessage message =
                switch (kind - FIRST) {
                    case 0 ->
                            new VersionMessage.Tell(
                                    Codec.number(in),
                                    new Report(
                                            Codec.number(in),
                                            Codec.text(in),
                                            Codec.number(in),
                                            Codec.text(in),
                                            Codec.number(in),
                                            counts(in),
                                            counts(in)),
                                    Codec.number(in),
                                    Codec.text(in));
                    case 1 -> new VersionMessage.Renewed(Codec.number(in), Codec.bool(in));
                    case 2 ->
                            new VersionMessage.WantBytes(
                                    Codec.text(in), Math.toIntExact(Codec.number(in)));
                    case 3 ->
                            new VersionMessage.Bytes(
                                    Codec.text(in), Math.toIntExact(Codec.number(in)), bytes(in));
                    case 4 ->
                            new VersionMessage.Offer(
                                    Codec.text(in), Math.toIntExact(Codec.number(in)));
                    case 5 -> new VersionMessage.Have(Codec.text(in));
                    default -> throw new IllegalArgumentException("no kind");
                };
        Codec.end(in);
        return message;
    }

    private static byte[] bytes(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IllegalArgumentException("no bytes");
        }
        return in.getBinaryValue();
    }

    private static void counts(CBORGenerator to, Counts counts) throws IOException {
        to.writeNumber(counts.read());
        to.writeNumber(counts.throttled());
        to.writeNumber(counts.errored());
        to.writeNumber(counts.late());
        to.writeNumber(counts.value());
        to.writeNumber(counts.offered());
    }

    private static Counts counts(CBORParser in) throws IOException {
        return new Counts(
                Codec.number(in),
                Codec.number(in),
                Codec.number(in),
                Codec.number(in),
                real(in),
                real(in));
    }

    private static double real(CBORParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token == null || !token.isNumeric()) {
            throw new IllegalArgumentException("no number");
        }
        return in.getDoubleValue();
    }
}
