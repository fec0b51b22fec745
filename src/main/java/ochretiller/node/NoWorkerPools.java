package ochretiller.node;

import java.util.Optional;
import ochretiller.execution.RunBackend;
import ochretiller.model.Operation;

/** Worker pools of a server whose processor runs all operations: there are none. Stateless. */
final class NoWorkerPools implements WorkerPools {
    @Override
    public Optional<String> poolOf(Operation operation) {
        return Optional.empty();
    }

    @Override
    public int capacity(String pool) {
        throw noSuchPool(pool);
    }

    @Override
    public int freeSlots(String pool) {
        throw noSuchPool(pool);
    }

    @Override
    public void reserveSlot(Operation operation) {
        // the processor needs no reservation
    }

    @Override
    public void cancelReservation(Operation operation) {
        // the processor needs no reservation
    }

    @Override
    public RunBackend backend() {
        throw new IllegalStateException("this server has no worker pools");
    }

    @Override
    public Runnable prepareReload(ServerConfiguration reloaded) {
        return () -> {};
    }

    @Override
    public void close() {
        // nothing is open
    }

    private static IllegalArgumentException noSuchPool(String pool) {
        return new IllegalArgumentException("no such pool: " + pool);
    }
}
