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
    private final Supplier<OperatorConfig> operatorConfigSupplier;

    /**
     * Creates the adapter.
     *
     * @param operatorConfigSupplier reads the operators' file again
     */
    ConfiguredWorkerPools(
            UwsgiRunBackend backend, Supplier<OperatorConfig> operatorConfigSupplier) {
        this.backend = backend;
        this.operatorConfigSupplier = operatorConfigSupplier;
    }

    @Override
    public Optional<String> poolOf(Operation operation) {
        return Optional.ofNullable(backend.poolOf(operation.name()));
    }

    @Override
    public int capacity(String pool) {
        return backend.capacity(pool);
    }

    @Override
    public int freeSlots(String pool) {
        return backend.freeSlots(pool);
    }

    @Override
    public void reserveSlot(Operation operation) {
        if (poolOf(operation).isPresent()) {
            backend.addExpectedRuns(operation.name(), 1);
        }
    }

    @Override
    public void cancelReservation(Operation operation) {
        if (poolOf(operation).isPresent()) {
            backend.addExpectedRuns(operation.name(), -1);
        }
    }

    @Override
    public RunBackend backend() {
        return backend;
    }

    @Override
    public Runnable prepareReload(ServerConfiguration reloaded) {
        List<WorkerPoolConfig> configs =
                OperatorConfigResolver.workerPoolConfigs(operatorConfigSupplier.get(), reloaded);
        return () -> reconfigure(configs);
    }

    /** Applies the workers and settings of a changed configuration; the set of pools is fixed. */
    void reconfigure(List<WorkerPoolConfig> configs) {
        backend.reconfigure(configs);
    }

    /**
     * Handles a change in the fleet: the member at this address, which may be a worker of a pool,
     * has joined or left.
     */
    void onFleetMemberChanged(String address, boolean isPresent) {
        backend.setReachable(address, isPresent);
    }

    @Override
    public void close() {
        backend.close();
    }
}
