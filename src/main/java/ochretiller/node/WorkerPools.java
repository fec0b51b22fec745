package ochretiller.node;

import java.util.Optional;
import ochretiller.execution.RunBackend;
import ochretiller.model.Operation;

/**
 * Port to the worker pools that run some operations in the processor's place. Event loop thread.
 */
interface WorkerPools {
    /** Returns the pool that runs an operation, or empty where the processor runs it. */
    Optional<String> poolOf(Operation operation);

    /** Returns how many runs a pool may have at once with the workers that it has now. */
    int capacity(String pool);

    /** Returns how many more runs a pool would accept now. */
    int freeSlots(String pool);

    /**
     * Takes a slot for a run of a pooled operation until it is started or {@link
     * #cancelReservation} is called.
     */
    void reserveSlot(Operation operation);

    /** Gives a reserved slot back. */
    void cancelReservation(Operation operation);

    /** Returns what executes the runs of pooled operations. */
    RunBackend backend();

    /**
     * Reads the pools of a changed configuration; the set of pools stays as it was. Any thread.
     *
     * @return what adopts them, to be run on the event loop thread
     * @throws ochretiller.settings.MalformedException if the pools do not fit the configuration
     */
    Runnable prepareReload(ServerConfiguration next);

    /** Closes all connections to workers. */
    void close();
}
