package ochretiller.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * The loop of the writer thread. It takes queued tasks, commits appends in groups (one write and
 * one force each, then all callbacks), runs other tasks between two groups, and triggers the
 * engine's maintenance. It owns the {@link StorageEngine} while it runs.
 */
final class GroupCommitWriter implements Runnable {
    /**
     * Size in bytes from which a group takes no further append, so that its first append is not
     * delayed.
     */
    private static final int MAX_GROUP_BYTES = 1 << 20;

    /** Longest wait for a task, in milliseconds. */
    private static final long IDLE_MILLIS = SegmentCleaner.SWEEP_INTERVAL_MILLIS;

    /** Longest wait for a task while a compaction is in progress, in milliseconds. */
    private static final long COMPACTING_IDLE_MILLIS = 10;

    private final AppendQueue queue;
    private final StorageEngine engine;
    private final Executor callbackExecutor;
    private final GroupCommitDelay delay = new GroupCommitDelay();

    GroupCommitWriter(AppendQueue queue, StorageEngine engine, Executor callbackExecutor) {
        this.queue = queue;
        this.engine = engine;
        this.callbackExecutor = callbackExecutor;
    }

    /**
     * Runs until the queue is closed and empty, or the thread is interrupted, and then seals the
     * active segment.
     */
    @Override
    public void run() {
        boolean interrupted = false;
        try {
            List<WriterTask> batch = new ArrayList<>();
            while (awaitFirstTask(batch)) {
                awaitGroup();
                queue.drainTo(batch);
                process(batch);
                batch.clear();
                engine.maintain();
            }
        } catch (InterruptedException e) {
            interrupted = true;
        }
        engine.seal();
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for a task and adds it to the batch, if one arrives; false once the queue is closed and
     * empty.
     */
    private boolean awaitFirstTask(List<WriterTask> batch) throws InterruptedException {
        Optional<WriterTask> first =
                queue.poll(engine.isCompacting() ? COMPACTING_IDLE_MILLIS : IDLE_MILLIS);
        first.ifPresent(batch::add);
        return first.isPresent() || !queue.isClosing();
    }

    /**
     * Waits briefly for the next appends of callers that were just acknowledged, so that these
     * appends share one force.
     */
    private void awaitGroup() {
        int expected = delay.expectedAppends();
        if (expected > 1 && engine.isHealthy()) {
            long deadline = System.nanoTime() + delay.maxWaitNanos();
            while (queue.size() + 1 < expected && System.nanoTime() < deadline) {
                Thread.yield();
            }
        }
        delay.waitEnded(queue.size() + 1);
    }

    private void process(List<WriterTask> batch) {
        int next = 0;
        while (next < batch.size()) {
            if (batch.get(next) instanceof WriterTask.EngineCall call) {
                call.action().run();
                next++;
            } else {
                List<AppendRequest> group = nextGroup(batch, next);
                commit(group);
                next += group.size();
            }
        }
    }

    /**
     * Returns the appends from this index of the batch on that form one group; there is at least
     * one.
     */
    private static List<AppendRequest> nextGroup(List<WriterTask> batch, int from) {
        List<AppendRequest> group = new ArrayList<>();
        int bytes = 0;
        for (WriterTask task : batch.subList(from, batch.size())) {
            if (bytes >= MAX_GROUP_BYTES || !(task instanceof AppendRequest request)) {
                break;
            }
            group.add(request);
            bytes += request.recordBytes();
        }
        return group;
    }

    private void commit(List<AppendRequest> group) {
        AppendResult result = engine.append(group);
        if (result == AppendResult.DURABLE) {
            delay.forceCompleted(group.size(), queue.size(), engine.lastForceNanos());
        }
        queue.release(group);
        callbackExecutor.execute(
                () -> group.forEach(request -> request.callback().onCompleted(result)));
    }
}
