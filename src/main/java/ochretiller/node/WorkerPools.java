package ochretiller.node;

import java.util.Optional;
import ochretiller.execution.RunBackend;
import ochretiller.model.Operation;

/** Worker pools that run some operations instead of the processor. Event loop thread. */
interface WorkerPools {
    /** Returns the name of the pool that runs an operation, or empty if the processor runs it. */
    Optional<String> poolOf(Operation operation);

    /** Returns how many concurrent runs a pool allows with its current workers. */
    int capacity(String pool);

    /** Returns how many more runs a pool accepts now. */
    int freeSlots(String pool);

    /**
     * Reserves a slot for a run until the run starts or {@link #cancelReservation} is called. Does
     * nothing if the processor runs the operation.
     */
    void reserveSlot(Operation operation);

    /** Releases a reserved slot. */
    void cancelReservation(Operation operation);

    /** Returns the backend that executes runs of pooled operations. */
    RunBackend backend();

    /**
     * Reads the pools of a changed configuration; the set of pools is fixed. Any thread.
     *
     * @return a task that applies the change, to be run on the event loop thread
     * @throws ochretiller.settings.MalformedException if the pools do not fit the configuration
     */
    Runnable prepareReload(ServerConfiguration reloaded);

    /** Closes all connections to workers. */
    void close();
}
