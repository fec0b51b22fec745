package ochretiller.fleet.peers;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;
import ochretiller.fleet.epochs.Ballot;
import ochretiller.fleet.epochs.EpochMessage;
import ochretiller.fleet.epochs.Voter;
import ochretiller.settings.MalformedException;

/** What a voter has promised, in a file that is replaced as a whole: CBOR and its CRC-32C. */
final class VoterFile {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int LONGEST = 1 << 20;

    private final Path file;

    VoterFile(Path file) {
        this.file = file;
    }

    /** What was kept, or null where there is no file; one that is damaged is told, since it may hide a promise. */
    Voter.Promised read() {
        byte[] bytes;
        try {
            if (Files.size(file) > LONGEST) throw new MalformedException("the voter's file " + file + " is too long");
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            throw new MalformedException("cannot read the voter's file " + file);
        }
        CRC32C sum = new CRC32C();
        if (bytes.length < 8) throw damaged();
        sum.update(bytes, 0, bytes.length - 8);
        if (sum.getValue() != ByteBuffer.wrap(bytes, bytes.length - 8, 8).getLong()) throw damaged();
        try (CBORParser in = CBOR.createParser(bytes, 0, bytes.length - 8)) {
            Codec.start(in);
            long abstains = Codec.number(in);
            Ballot ballot = new Ballot(Codec.number(in), Codec.text(in));
            Ballot at = new Ballot(Codec.number(in), Codec.text(in));
            EpochMessage.Agreed agreed = new EpochMessage.Agreed(CopyCodec.layout(in));
            boolean accepted = Codec.bool(in);
            return new Voter.Promised(agreed.layout(), ballot, at, accepted ? CopyCodec.layout(in) : null, abstains);
        } catch (IOException | IllegalArgumentException e) {
            throw damaged();
        }
    }

    private MalformedException damaged() {
        return new MalformedException("the voter's file " + file + " is damaged: take it away, and the voter asks the others what it may have promised");
    }

    /** Durable once it returns; not on the one thread. */
    void write(Voter.Promised promised) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            to.writeNumber(promised.abstainsTo());
            to.writeNumber(promised.ballot().round());
            to.writeString(promised.ballot().voter());
            to.writeNumber(promised.acceptedAt().round());
            to.writeString(promised.acceptedAt().voter());
            CopyCodec.layout(to, promised.agreed());
            to.writeBoolean(promised.accepted() != null);
            if (promised.accepted() != null) CopyCodec.layout(to, promised.accepted());
            to.writeEndArray();
        }
        CRC32C sum = new CRC32C();
        sum.update(out.toByteArray());
        out.writeBytes(ByteBuffer.allocate(8).putLong(sum.getValue()).array());
        Path half = file.resolveSibling(file.getFileName() + ".tmp");
        try (FileChannel channel = FileChannel.open(half, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(out.toByteArray());
            while (bytes.hasRemaining()) channel.write(bytes);
            channel.force(true);
        }
        Files.move(half, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        Path folder = file.toAbsolutePath().getParent();
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true); // the name, too
        }
    }
}
