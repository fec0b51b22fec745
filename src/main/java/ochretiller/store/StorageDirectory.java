package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The port through which a store reaches its directory. {@link LocalDirectory} is the file system;
 * tests use implementations that lose unforced writes, stall and fail.
 *
 * <p>Implementations need not be safe for several threads at once, apart from {@link #open}, which
 * readers may call beside the writer.
 */
public interface StorageDirectory {
    /**
     * Takes the directory for this process alone, creating it where it does not exist.
     *
     * @return closing it releases the directory, as the end of the process does
     * @throws StoreException where another process has it
     */
    Closeable acquireLock() throws IOException;

    /**
     * Names of the files in the directory, in no particular order.
     *
     * @throws StoreException where there is no such directory
     */
    List<String> listFiles() throws IOException;

    /** Opens an existing file for reading, and for writing where it is writable. */
    StorageFile open(String name) throws IOException;

    /**
     * Creates a file and opens it for reading and writing; an existing file of that name is an
     * error.
     */
    StorageFile create(String name) throws IOException;

    /** Deletes a file; one that does not exist is no error. */
    void delete(String name) throws IOException;

    /** Atomically replaces the file {@code to} by the file {@code from}. */
    void rename(String from, String to) throws IOException;

    /** Returns once all creations, renames and deletions so far are on stable storage. */
    void forceDirectory() throws IOException;
}
