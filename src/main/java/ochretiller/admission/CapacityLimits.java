package ochretiller.admission;

/**
 * The parts of a controller that bound what it takes on.
 *
 * @param slots slots of the cores and of the worker pools
 * @param concurrency the adaptive limit of the cores
 * @param calls the limit of downstream calls
 * @param memory the memory of open invocations
 * @param drain what a shutdown forbids
 * @param cancellation which runs may be cancelled
 */
record CapacityLimits(
        ExecutionSlots slots,
        ConcurrencyLimiter concurrency,
        DownstreamCallLimiter calls,
        MemoryBudget memory,
        DrainState drain,
        RunCancellation cancellation) {}
