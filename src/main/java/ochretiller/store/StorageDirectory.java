package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder of files as the store uses it; tests put one in its place that forgets, stalls and
 * fails by script.
 */
public interface StorageDirectory {
    /** An open file. */
    interface StorageFile extends Closeable {
        /** Writes all of it at this place, or fails with some of it written. */
        void write(ByteBuffer bytes, long at) throws IOException;

        /** Reads until the buffer is full or the file ends; tells how many bytes came. */
        int read(ByteBuffer into, long at) throws IOException;

        /**
         * Returns once all that was written is on the medium. A failure proves nothing about any of
         * it.
         */
        void force() throws IOException;

        long size() throws IOException;

        void truncate(long size) throws IOException;

        @Override
        void close() throws IOException;
    }

    /**
     * Takes the folder for this process alone; it is free again once closed or once the process is
     * gone.
     */
    Closeable acquireLock() throws IOException;

    /** Names of the files in the folder, in no order. */
    List<String> listFiles() throws IOException;

    StorageFile open(String name) throws IOException;

    /** A new file; one that is there already is a failure. */
    StorageFile create(String name) throws IOException;

    void delete(String name) throws IOException;

    /** Puts the file in the place of another at once, and never a part of it. */
    void rename(String from, String to) throws IOException;

    /** Names made, changed and deleted so far stay so behind a power cut. */
    void forceDirectory() throws IOException;
}
