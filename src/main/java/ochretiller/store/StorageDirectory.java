package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The directory of a store's files. {@link LocalDirectory} uses the local file system; tests use
 * implementations that lose unforced writes, stall and fail.
 *
 * <p>Implementations need not be thread-safe, except that readers may call {@link #open}
 * concurrently with the writer.
 */
public interface StorageDirectory {
    /**
     * Locks the directory for this process, creating it if it does not exist.
     *
     * @return a handle that unlocks the directory when closed, as the end of the process does
     * @throws StoreException if another process holds the lock
     */
    Closeable acquireLock() throws IOException;

    /**
     * Names of the files in the directory, in no particular order.
     *
     * @throws StoreException if the directory does not exist
     */
    List<String> listFiles() throws IOException;

    /** Opens an existing file for reading, and for writing if it is writable. */
    StorageFile open(String name) throws IOException;

    /**
     * Creates a file and opens it for reading and writing; an existing file of that name is an
     * error.
     */
    StorageFile create(String name) throws IOException;

    /** Deletes a file; a missing file is not an error. */
    void delete(String name) throws IOException;

    /** Atomically replaces the file {@code to} with the file {@code from}. */
    void rename(String from, String to) throws IOException;

    /** Returns once all creations, renames and deletions so far are on stable storage. */
    void forceDirectory() throws IOException;
}
