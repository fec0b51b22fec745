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
 * A small file that is replaced as a whole: a CBOR array followed by its CRC-32C in eight bytes.
 *
 * <p>Methods block on the disk and must not be called on the event loop, except during startup.
 */
final class ChecksummedFile {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int MAX_FILE_BYTES = 1 << 20;
    private static final int CHECKSUM_BYTES = Long.BYTES;

    private final Path file;

    ChecksummedFile(Path file) {
        this.file = file;
    }

    /** Reads the elements of the array; throws an exception if they are not as expected. */
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
     * @return the content, or empty if there is no file
     * @throws CorruptFileException if length, checksum or content is invalid
     */
    <T> Optional<T> read(ContentReader<T> reader) throws IOException {
        byte[] bytes;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new CorruptFileException(file, "longer than " + MAX_FILE_BYTES + " bytes");
            }
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
        int contentLength = bytes.length - CHECKSUM_BYTES;
        if (contentLength < 0) {
            throw new CorruptFileException(file, "too short for a checksum");
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

    /** Replaces the content of the file atomically; it is durable once this method returns. */
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

    /** Replaces a file completely or not at all; the change is durable once this method returns. */
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

    /** Forces the directory to disk; otherwise a crash may undo the rename. */
    private static void forceDirectory(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
