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
 * All open invocations, in the order in which they were read, with the memory that they use. An
 * invocation is open while it still needs an answer or its run has not ended.
 */
final class InvocationRegistry {
    private final Map<InvocationId, TrackedInvocation> openInvocations = new LinkedHashMap<>();
    private final Set<ExecutionSite> workerPools = new LinkedHashSet<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final MemoryBudget memory;

    InvocationRegistry(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Adds an invocation that was read, and reserves its memory. */
    void add(TrackedInvocation invocation) {
        openInvocations.put(invocation.id(), invocation);
        if (!invocation.site().isLocal()) {
            workerPools.add(invocation.site());
        }
        memory.reserve(invocation.invocation().memoryKb());
    }

    /** Marks the run of an invocation as started, and reserves its additional memory. */
    void startRun(TrackedInvocation invocation, Duration now) {
        invocation.startRun(now);
        memory.reserve(memory.runOverheadKb(invocation.invocation().memoryKb()));
    }

    /** Removes a finished invocation and releases its memory. Does nothing if it is not open. */
    void remove(TrackedInvocation invocation) {
        if (openInvocations.remove(invocation.id()) != null) {
            deadlines.remove(invocation);
            memory.release(invocation.invocation().memoryKb(), invocation.isStarted());
        }
    }

    /** Returns when the open invocations are to be checked against their deadlines. */
    DeadlineQueue deadlines() {
        return deadlines;
    }

    boolean contains(TrackedInvocation invocation) {
        return openInvocations.containsKey(invocation.id());
    }

    Optional<TrackedInvocation> find(InvocationId id) {
        return Optional.ofNullable(openInvocations.get(id));
    }

    /** Returns a copy of all open invocations, in the order in which they were read. */
    List<TrackedInvocation> snapshot() {
        return List.copyOf(openInvocations.values());
    }

    /** Returns the runs that occupy the slots of a site, which runs waiting for calls do not. */
    List<TrackedInvocation> runningAt(ExecutionSite site) {
        return openInvocations.values().stream()
                .filter(invocation -> invocation.isRunning() && invocation.runsAt(site))
                .toList();
    }

    /** Returns the worker pools of all invocations read so far, in order of first use. */
    Set<ExecutionSite> workerPools() {
        return workerPools;
    }
}
