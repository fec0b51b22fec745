package ochretiller.fleet.service;

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
import ochretiller.fleet.transport.PacketCodec;

/**
 * A small file that is replaced as a whole: an array in CBOR, and its CRC-32C in eight bytes. Not
 * for the one thread.
 */
final class SealedFile {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int LONGEST = 1 << 20;
    private static final int SUM = 8;

    private final Path file;

    SealedFile(Path file) {
        this.file = file;
    }

    /** Reads what is in the array; what it throws means that the file is damaged. */
    @FunctionalInterface
    interface Reads<T> {
        T from(CBORParser in) throws IOException;
    }

    @FunctionalInterface
    interface Writes {
        void to(CBORGenerator out) throws IOException;
    }

    /**
     * What is there, or null where there is no file; a {@link CorruptFileException} where it is not
     * what was written.
     */
    <T> T read(Reads<T> reads) throws IOException {
        byte[] bytes;
        try {
            if (Files.size(file) > LONGEST) {
                throw new DamagedException();
            }
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
        if (bytes.length < SUM) {
            throw new DamagedException();
        }
        if (sum(bytes, bytes.length - SUM)
                != ByteBuffer.wrap(bytes, bytes.length - SUM, SUM).getLong()) {
            throw new DamagedException();
        }
        try (CBORParser in = CBOR.createParser(bytes, 0, bytes.length - SUM)) {
            PacketCodec.readStartArray(in);
            return reads.from(in);
        } catch (IOException | IllegalArgumentException e) {
            throw new DamagedException();
        }
    }

    /** Whole by no means, or not as this program writes it. */
    static final class DamagedException extends IOException {
        private static final long serialVersionUID = 1;
    }

    private static long sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return sum.getValue();
    }

    /** Durable once it returns: all of it, or what was there before. */
    void write(Writes writes) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            writes.to(to);
            to.writeEndArray();
        }
        long sum = sum(out.toByteArray(), out.size());
        out.writeBytes(ByteBuffer.allocate(SUM).putLong(sum).array());
        replace(file, out.toByteArray());
    }

    /**
     * Puts these bytes in the place of a file, or leaves it as it was; durable with its name once
     * it returns.
     */
    static void replace(Path file, byte[] all) throws IOException {
        Path half = file.resolveSibling(file.getFileName() + ".tmp");
        try (FileChannel channel =
                FileChannel.open(
                        half,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(all);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(half, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        Path folder = file.toAbsolutePath().getParent();
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true); // the name, too
        }
    }
}
