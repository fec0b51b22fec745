package ochretiller.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ochretiller.model.InvocationId;

/**
 * All invocations that were read and are not over, in the order they were read, with the memory
 * they take. Serves the rules "nothing lost" (what is registered is still owed an answer, or still
 * runs) and "nothing falls over" (memory).
 */
final class InvocationRegistry {
    private final Map<InvocationId, TrackedInvocation> open = new LinkedHashMap<>();
    private final Set<ExecutionSite> workerPools = new LinkedHashSet<>();
    private final MemoryBudget memory;

    InvocationRegistry(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Adds an invocation that was read, and takes its memory. */
    void open(TrackedInvocation invocation) {
        open.put(invocation.id(), invocation);
        if (!invocation.site().isLocal()) {
            workerPools.add(invocation.site());
        }
        memory.reserve(invocation.invocation().memoryKb());
    }

    /** Takes the further memory of a run that starts. */
    void startRun(TrackedInvocation invocation, Duration now) {
        invocation.startRun(now);
        memory.reserve(memory.runOverheadKb(invocation.invocation().memoryKb()));
    }

    /**
     * Removes an invocation that is over and gives its memory back. Does nothing the second time.
     */
    void close(TrackedInvocation invocation) {
        if (open.remove(invocation.id()) != null) {
            memory.release(invocation.invocation().memoryKb(), invocation.isStarted());
        }
    }

    boolean isOpen(TrackedInvocation invocation) {
        return open.containsKey(invocation.id());
    }

    Optional<TrackedInvocation> find(InvocationId id) {
        return Optional.ofNullable(open.get(id));
    }

    /** Returns a copy of all open invocations, the one read first in front. */
    List<TrackedInvocation> snapshot() {
        return List.copyOf(open.values());
    }

    /** Returns what occupies a core or a worker slot there; what waits at a call does not. */
    List<TrackedInvocation> runningAt(ExecutionSite site) {
        return open.values().stream()
                .filter(invocation -> invocation.isRunning() && invocation.runsAt(site))
                .toList();
    }

    /** Returns the worker pools that invocations were read for so far, in order of first use. */
    Set<ExecutionSite> workerPools() {
        return workerPools;
    }
}
