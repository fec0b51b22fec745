package ochretiller.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import ochretiller.execution.RunBackend;
import ochretiller.model.Operation;
import ochretiller.operator.OperatorConfig;
import ochretiller.workers.UwsgiRunBackend;
import ochretiller.workers.WorkerPoolConfig;

/** The worker pools of the operators' file. Event loop thread only. */
final class ConfiguredWorkerPools implements WorkerPools {
    private final UwsgiRunBackend backend;
    private final Supplier<OperatorConfig> operatorReload;

    /**
     * Creates the port.
     *
     * @param operatorReload reads the operators' file again
     */
    ConfiguredWorkerPools(UwsgiRunBackend backend, Supplier<OperatorConfig> operatorReload) {
        this.backend = backend;
        this.operatorReload = operatorReload;
    }

    @Override
    public Optional<String> poolOf(Operation operation) {
        return Optional.ofNullable(backend.pool(operation.name()));
    }

    @Override
    public int capacity(String pool) {
        return backend.places(pool);
    }

    @Override
    public int freeSlots(String pool) {
        return backend.free(pool);
    }

    @Override
    public void reserveSlot(Operation operation) {
        if (poolOf(operation).isPresent()) {
            backend.expect(operation.name(), 1);
        }
    }

    @Override
    public void cancelReservation(Operation operation) {
        if (poolOf(operation).isPresent()) {
            backend.expect(operation.name(), -1);
        }
    }

    @Override
    public RunBackend backend() {
        return backend;
    }

    @Override
    public Runnable prepareReload(ServerConfiguration next) {
        List<WorkerPoolConfig> configs =
                OperatorConfigResolver.workerPoolConfigs(operatorReload.get(), next);
        return () -> reconfigure(configs);
    }

    /**
     * Adopts the workers and settings of a changed configuration; the set of pools stays as it was.
     */
    void reconfigure(List<WorkerPoolConfig> configs) {
        backend.become(configs);
    }

    /**
     * Records that a server of the fleet at this address, which may be a worker here, has come or
     * gone.
     */
    void onFleetMemberSeen(String address, boolean present) {
        backend.seen(address, present);
    }

    @Override
    public void close() {
        backend.close();
    }
}
