package ochretiller.audit.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.AuditEventKind;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.ChainFault;
import ochretiller.audit.ChainHead;

/**
 * Writes a server's audit on a thread of its own. {@link #add} never waits for the disk and may be
 * called by any thread, as may the getters. Records that the disk does not take, or that come
 * faster than it takes them, are lost; the next record that can be written says how many.
 */
public final class AuditLogWriter implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(AuditLogWriter.class.getName());

    /** Most records that wait for the disk. */
    private static final int MAX_QUEUED = 20_000;

    /** Most records of one force; fewer than make a file. */
    private static final int MAX_GROUP = 200;

    /**
     * How long the thread waits for a record before it looks whether it is to end, milliseconds.
     */
    private static final long IDLE_MILLIS = 200;

    /**
     * How long others may gather behind a group, so that they go out with one force, milliseconds.
     */
    private static final long GATHER_MILLIS = IDLE_MILLIS / 4;

    /** Pause after a failure of the disk, milliseconds. */
    private static final long FAILURE_PAUSE_MILLIS = 5 * IDLE_MILLIS;

    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final LongSupplier unixMillis;
    private final AuditLogFile log;
    private final List<ChainFault> recoveredFaults;
    private final BlockingQueue<AuditRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final Thread thread = new Thread(this::run, "audit");

    /** Counted by those who add and by the writer's thread. */
    private final AtomicLong lostRecords = new AtomicLong();

    private final AtomicLong writtenRecords = new AtomicLong();
    private volatile ChainHead head;
    private volatile boolean closing;

    /**
     * The writer thread's own: how many lost records the log tells of, and whether the last write
     * failed.
     */
    private long reportedLosses;

    private boolean diskFailed;

    /**
     * Goes on after what the directory holds, creating it where it does not exist.
     *
     * @param maxBytes of all files together, approximately
     * @param unixMillis clock for the records that the writer itself adds
     * @throws IOException where the directory cannot be read or its newest file not be written
     */
    public AuditLogWriter(Path directory, long maxBytes, LongSupplier unixMillis)
            throws IOException {
        this.unixMillis = unixMillis;
        Files.createDirectories(directory);
        AuditLog existing = AuditLogReader.read(directory, List.of());
        recoveredFaults = existing.faults();
        log = new AuditLogFile(directory, existing, maxBytes);
        head = log.head();
        thread.setDaemon(true);
    }

    /** What was wrong with what the directory held. */
    public List<ChainFault> recoveredFaults() {
        return recoveredFaults;
    }

    /** Starts the writer's thread; records may be added before. */
    public void start() {
        thread.start();
    }

    /** Queues a record; where the queue is full it is lost, and counted. */
    public void add(AuditRecord record) {
        if (!queue.offer(record)) {
            lostRecords.incrementAndGet();
        }
    }

    /** Where the chain on disk ends. */
    public ChainHead head() {
        return head;
    }

    /** Records that the disk did not take. */
    public long lostRecords() {
        return lostRecords.get();
    }

    /** Records that are on stable storage. */
    public long writtenRecords() {
        return writtenRecords.get();
    }

    /** Records that wait for the disk. */
    public int queuedRecords() {
        return queue.size();
    }

    private void run() {
        boolean isOver = false;
        while (!isOver) {
            try {
                isOver = !writeNextGroup();
            } catch (InterruptedException e) {
                LOG.warning("the audit's thread is interrupted, and goes on");
            }
        }
        try {
            log.close();
        } catch (IOException e) {
            LOG.warning("the audit cannot be closed: " + e.getMessage());
        }
    }

    /**
     * Waits for records and writes a group of them; false once the writer is closed and nothing is
     * left.
     */
    private boolean writeNextGroup() throws InterruptedException {
        Optional<AuditRecord> first =
                Optional.ofNullable(queue.poll(IDLE_MILLIS, TimeUnit.MILLISECONDS));
        if (first.isEmpty()) {
            return !closing;
        }
        List<AuditRecord> group = new ArrayList<>();
        group.add(first.get());
        queue.drainTo(group, MAX_GROUP - group.size());
        long losses = lostRecords.get();
        if (losses > reportedLosses) {
            group.add(0, lossEvent(losses - reportedLosses));
        }
        if (tryAppend(group)) {
            reportedLosses = losses;
        } else {
            lostRecords.addAndGet(group.stream().filter(record -> !isLossEvent(record)).count());
        }
        pause();
        return true;
    }

    private AuditEvent lossEvent(long count) {
        String text = count + " records that the disk did not take";
        return new AuditEvent(AuditEventKind.RECORDS_LOST, 0, unixMillis.getAsLong(), text);
    }

    private static boolean isLossEvent(AuditRecord record) {
        return record instanceof AuditEvent event && event.kind() == AuditEventKind.RECORDS_LOST;
    }

    private boolean tryAppend(List<AuditRecord> group) {
        try {
            log.append(group);
        } catch (IOException e) {
            if (!diskFailed) {
                LOG.warning("the audit's disk does not take records: " + e.getMessage());
            }
            diskFailed = true;
            return false;
        }
        head = log.head();
        writtenRecords.addAndGet(group.size());
        if (diskFailed) {
            LOG.info("the audit's disk takes records again");
        }
        diskFailed = false;
        return true;
    }

    private void pause() throws InterruptedException {
        if (diskFailed) {
            Thread.sleep(FAILURE_PAUSE_MILLIS);
        } else if (queue.size() < MAX_GROUP && !closing) {
            Thread.sleep(GATHER_MILLIS);
        }
    }

    /**
     * Writes what is queued; returns once it is written, or after two seconds. An interrupt ends
     * the wait and is kept.
     */
    @Override
    public void close() {
        closing = true;
        try {
            thread.join(CLOSE_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
