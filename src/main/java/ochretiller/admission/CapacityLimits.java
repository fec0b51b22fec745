package ochretiller.admission;

/**
 * The parts of a controller that limit the work it accepts.
 *
 * @param slots execution slots of the cores and of the worker pools
 * @param concurrency the adaptive limit of runs on the cores
 * @param calls the limit of downstream calls
 * @param memory the memory of open invocations
 * @param drain restrictions during shutdown
 * @param cancellation rule for which runs may be cancelled
 */
record CapacityLimits(
        ExecutionSlots slots,
        ConcurrencyLimiter concurrency,
        DownstreamCallLimiter calls,
        MemoryBudget memory,
        DrainState drain,
        RunCancellation cancellation) {}
