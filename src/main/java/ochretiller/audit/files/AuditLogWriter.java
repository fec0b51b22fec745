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
 * Writes a server's audit on a thread of its own. {@link #add} never blocks on the disk; it and the
 * getters are thread-safe. Records are lost if the queue is full or writing fails; the next group
 * that is written starts with a record of their number.
 */
public final class AuditLogWriter implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(AuditLogWriter.class.getName());

    /** Maximum number of records that wait for the disk. */
    private static final int MAX_QUEUED_RECORDS = 20_000;

    /** Maximum number of records per force; such a group is smaller than a file. */
    private static final int MAX_GROUP_RECORDS = 200;

    /** Maximum time to wait for a record before checking whether the writer is closed. */
    private static final long POLL_TIMEOUT_MILLIS = 200;

    /** Pause after a group, during which more records are queued for the next force. */
    private static final long GROUPING_PAUSE_MILLIS = POLL_TIMEOUT_MILLIS / 4;

    /** Pause after a failed write. */
    private static final long FAILURE_PAUSE_MILLIS = 5 * POLL_TIMEOUT_MILLIS;

    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final LongSupplier unixMillis;
    private final AuditLogFile log;
    private final List<ChainFault> initialFaults;
    private final BlockingQueue<AuditRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_RECORDS);
    private final Thread thread = new Thread(this::run, "audit");

    /** Incremented by callers of {@link #add} and by the writer thread. */
    private final AtomicLong lostRecords = new AtomicLong();

    private final AtomicLong writtenRecords = new AtomicLong();
    private volatile ChainHead head;
    private volatile boolean closing;

    /**
     * Number of lost records reported in the audit on disk. Used by the writer thread only, as is
     * {@link #diskFailed}.
     */
    private long reportedLosses;

    private boolean diskFailed;

    /**
     * Continues the audit in the directory, which is created if it does not exist.
     *
     * @param maxBytes approximate maximum size of all files together
     * @param unixMillis clock for the records that the writer itself adds
     * @throws IOException if the directory cannot be read or its newest file cannot be written
     */
    public AuditLogWriter(Path directory, long maxBytes, LongSupplier unixMillis)
            throws IOException {
        this.unixMillis = unixMillis;
        Files.createDirectories(directory);
        AuditLog existing = AuditLogReader.read(directory, List.of());
        initialFaults = existing.faults();
        log = new AuditLogFile(directory, existing, maxBytes);
        head = log.head();
        thread.setDaemon(true);
    }

    /** Returns the faults found in the directory when it was opened. */
    public List<ChainFault> initialFaults() {
        return initialFaults;
    }

    /** Starts the writer thread. Records may be added before. */
    public void start() {
        thread.start();
    }

    /** Queues a record; if the queue is full, the record is dropped and counted as lost. */
    public void add(AuditRecord record) {
        if (!queue.offer(record)) {
            lostRecords.incrementAndGet();
        }
    }

    /** Returns the head of the chain on disk. */
    public ChainHead head() {
        return head;
    }

    /** Returns the number of records lost because the queue was full or writing failed. */
    public long lostRecords() {
        return lostRecords.get();
    }

    /** Returns the number of records that this writer has stored durably. */
    public long writtenRecords() {
        return writtenRecords.get();
    }

    /** Returns the number of records that wait for the disk. */
    public int queuedRecords() {
        return queue.size();
    }

    private void run() {
        boolean isFinished = false;
        while (!isFinished) {
            try {
                isFinished = !writeNextGroup();
            } catch (InterruptedException e) {
                LOG.warning("audit: the writer thread was interrupted and continues");
            }
        }
        try {
            log.close();
        } catch (IOException e) {
            LOG.warning("audit: cannot close the newest file: " + e.getMessage());
        }
    }

    /**
     * Waits for records and writes a group of them. Returns false if the writer is closed and the
     * queue is empty.
     */
    private boolean writeNextGroup() throws InterruptedException {
        Optional<AuditRecord> first =
                Optional.ofNullable(queue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        if (first.isEmpty()) {
            return !closing;
        }
        List<AuditRecord> group = new ArrayList<>();
        group.add(first.get());
        queue.drainTo(group, MAX_GROUP_RECORDS - group.size());
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
                LOG.warning("audit: cannot write records: " + e.getMessage());
            }
            diskFailed = true;
            return false;
        }
        head = log.head();
        writtenRecords.addAndGet(group.size());
        if (diskFailed) {
            LOG.info("audit: records can be written again");
        }
        diskFailed = false;
        return true;
    }

    private void pause() throws InterruptedException {
        if (diskFailed) {
            Thread.sleep(FAILURE_PAUSE_MILLIS);
        } else if (queue.size() < MAX_GROUP_RECORDS && !closing) {
            Thread.sleep(GROUPING_PAUSE_MILLIS);
        }
    }

    /**
     * Writes the queued records and returns when they are written, or after two seconds. If the
     * caller is interrupted, the wait ends and the interrupt status is set.
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
