package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * An open file of a {@link StorageDirectory}, read and written by position. Used by one thread at a
 * time.
 */
public interface StorageFile extends Closeable {
    /**
     * Writes all remaining bytes at this position.
     *
     * @throws IOException if the write fails; some of the bytes may have been written (a torn
     *     write)
     */
    void write(ByteBuffer bytes, long position) throws IOException;

    /**
     * Reads until the buffer is full or the file ends.
     *
     * @return the number of bytes read, 0 at or after the end of the file
     */
    int read(ByteBuffer target, long position) throws IOException;

    /**
     * Returns once everything written to this file is on stable storage ({@code fdatasync}).
     *
     * @throws IOException if that fails; the state of all bytes written since the last successful
     *     call is then unknown
     */
    void force() throws IOException;

    /** Length of the file in bytes. */
    long size() throws IOException;

    /** Truncates the file to this length in bytes; a shorter file is not changed. */
    void truncate(long size) throws IOException;

    @Override
    void close() throws IOException;
}
