package ochretiller.fleet.service;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.zip.CRC32C;
import ochretiller.fleet.transport.CborReader;

/**
 * A small file that is replaced as a whole: an array in CBOR, followed by its CRC-32C in eight
 * bytes.
 *
 * <p>Its methods block on the disk and must not be called on the event loop, except at the start.
 */
final class SealedFile {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int MAX_FILE_BYTES = 1 << 20;
    private static final int CHECKSUM_BYTES = Long.BYTES;

    private final Path file;

    SealedFile(Path file) {
        this.file = file;
    }

    /** Reads the elements of the array; an exception means that the file is corrupt. */
    @FunctionalInterface
    interface ContentReader<T> {
        T read(CborReader in) throws IOException;
    }

    /** Writes the elements of the array. */
    @FunctionalInterface
    interface ContentWriter {
        void write(CBORGenerator out) throws IOException;
    }

    /**
     * Reads the file.
     *
     * @return the content, or nothing if there is no file
     * @throws CorruptFileException if the file is not as it was written
     */
    <T> Optional<T> read(ContentReader<T> reader) throws IOException {
        byte[] bytes;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new CorruptFileException(file, "too long");
            }
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
        int contentLength = bytes.length - CHECKSUM_BYTES;
        if (contentLength < 0) {
            throw new CorruptFileException(file, "too short");
        }
        long storedChecksum = ByteBuffer.wrap(bytes, contentLength, CHECKSUM_BYTES).getLong();
        if (checksum(bytes, contentLength) != storedChecksum) {
            throw new CorruptFileException(file, "its checksum does not match");
        }
        try (CborReader in = CborReader.of(bytes, 0, contentLength)) {
            in.readStartArray();
            return Optional.of(reader.read(in));
        } catch (IOException | IllegalArgumentException e) {
            throw new CorruptFileException(file, e);
        }
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return checksum.getValue();
    }

    /** Writes the file: once this returns, all of the new content is durable. */
    void write(ContentWriter writer) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            writer.write(generator);
            generator.writeEndArray();
        }
        long checksum = checksum(out.toByteArray(), out.size());
        out.writeBytes(ByteBuffer.allocate(CHECKSUM_BYTES).putLong(checksum).array());
        replaceAtomically(file, out.toByteArray());
    }

    /** Replaces the content of a file or leaves it as it was; durable once this returns. */
    static void replaceAtomically(Path file, byte[] content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(content);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        forceDirectory(file.toAbsolutePath().getParent());
    }

    /** Without it the new name of a file may be lost in a crash. */
    private static void forceDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
