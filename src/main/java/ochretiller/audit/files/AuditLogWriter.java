package ochretiller.audit.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.HashChain;

/**
 * Writes a server's audit, on a thread of its own: what is handed over never waits for the disk.
 * What the disk does not take, or comes faster than it takes, is lost, and a record says how much
 * as soon as one can be written.
 */
public final class AuditLogWriter {
    private static final Logger LOG = Logger.getLogger(AuditLogWriter.class.getName());

    /** Records that wait for the disk. */
    private static final int WAITING = 20_000;

    /** Records of one force: fewer than make a file. */
    private static final int GROUP = 200;

    private static final int PAUSE_MS = 200;

    /** Files that the bytes are spread over: the oldest goes as a whole. */
    private static final int FILES = 16;

    private final Path folder;
    private final long fileBytes;
    private final BlockingQueue<AuditRecord> queuedRecords = new ArrayBlockingQueue<>(WAITING);
    private final Thread thread = new Thread(this::work, "audit");
    private final LongSupplier unixMs;
    private HashChain chain;
    private FileChannel file;
    private long size;
    private boolean sick;
    private volatile boolean over;

    /** Counted by the thread that hands over, and by the writer's own. */
    private final AtomicLong lostRecords = new AtomicLong();

    private volatile long writtenRecords;
    private volatile HashChain.ChainHead head;
    private final List<HashChain.ChainFault> recoveredFaults;

    /**
     * Goes on behind what is there; a record that a crash has cut in two is taken off.
     *
     * @param mostBytes of all files together
     */
    public AuditLogWriter(Path folder, long mostBytes, LongSupplier unixMs) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.fileBytes = Math.max(64 * 1024, mostBytes / FILES);
        this.unixMs = unixMs;
        AuditLogReader.AuditLog found = AuditLogReader.read(folder, List.of());
        recoveredFaults = found.faults();
        List<HashChain.ChainedRecord> links = found.records();
        chain = HashChain.continuing(links.isEmpty() ? null : links.get(links.size() - 1));
        head = chain.head();
        List<Path> files = AuditLogReader.logFiles(folder);
        if (!files.isEmpty()) {
            file = FileChannel.open(files.get(files.size() - 1), StandardOpenOption.WRITE);
            file.truncate(found.lastRecordEnd());
            size = found.lastRecordEnd();
            file.position(size);
        }
        thread.setDaemon(true);
    }

    /** What was wrong with what was there. */
    public List<HashChain.ChainFault> recoveredFaults() {
        return recoveredFaults;
    }

    public void start() {
        thread.start();
    }

    /** Handed over, or counted as lost. */
    public void add(AuditRecord entry) {
        if (!queuedRecords.offer(entry)) {
            lostRecords.incrementAndGet();
        }
    }

    /** Where the chain on the disk ends. */
    public HashChain.ChainHead head() {
        return head;
    }

    public long lostRecords() {
        return lostRecords.get();
    }

    public long writtenRecords() {
        return writtenRecords;
    }

    public int queuedRecords() {
        return queuedRecords.size();
    }

    private void work() {
        List<AuditRecord> group = new ArrayList<>();
        long told = 0;
        while (true) {
            try {
                AuditRecord first = queuedRecords.poll(PAUSE_MS, TimeUnit.MILLISECONDS);
                if (first == null && over) {
                    break;
                }
                if (first != null) {
                    group.add(first);
                }
                queuedRecords.drainTo(group, GROUP - group.size());
                if (lostRecords.get() > told && !group.isEmpty()) {
                    group.add(
                            0,
                            new AuditRecord.AuditEvent(
                                    AuditRecord.AuditEventKind.RECORDS_LOST,
                                    0,
                                    unixMs.getAsLong(),
                                    (lostRecords.get() - told)
                                            + " records that the disk did not take"));
                }
                if (group.isEmpty()) {
                    continue;
                }
                long losses = lostRecords.get();
                if (write(group)) {
                    told = losses;
                } else {
                    lostRecords.addAndGet(
                            group.stream()
                                    .filter(
                                            each ->
                                                    !(each instanceof AuditRecord.AuditEvent event
                                                            && event.kind()
                                                                    == AuditRecord.AuditEventKind
                                                                            .RECORDS_LOST))
                                    .count());
                }
                group.clear();
                // Others gather meanwhile, and go out with one force.
                if (sick || queuedRecords.size() < GROUP && !over) {
                    Thread.sleep(sick ? 5 * PAUSE_MS : PAUSE_MS / 4);
                }
            } catch (InterruptedException e) {
                LOG.warning("the audit's thread is interrupted, and goes on");
            }
        }
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            LOG.warning("the audit cannot be closed: " + e.getMessage());
        }
    }

    private boolean write(List<AuditRecord> group) {
        HashChain next = HashChain.copyOf(chain);
        try {
            if (file == null || size >= fileBytes) {
                roll();
            }
            long before = size;
            try {
                for (AuditRecord each : group) {
                    ByteBuffer bytes =
                            ByteBuffer.wrap(
                                    AuditLogReader.frame(
                                            next.append(AuditRecordCodec.encode(each))));
                    size += bytes.remaining();
                    while (bytes.hasRemaining()) {
                        file.write(bytes);
                    }
                }
                file.force(false);
            } catch (IOException e) {
                // Some of it may be there: it is taken off, or the next one would stand behind half
                // a record.
                size = before;
                file.truncate(before);
                file.position(before);
                throw e;
            }
            chain = next;
            head = chain.head();
            writtenRecords += group.size();
            if (sick) {
                LOG.info("the audit's disk takes records again");
            }
            sick = false;
            return true;
        } catch (IOException e) {
            if (!sick) {
                LOG.warning("the audit's disk does not take records: " + e.getMessage());
            }
            sick = true;
            return false;
        }
    }

    private void roll() throws IOException {
        if (file != null) {
            file.close();
        }
        file =
                FileChannel.open(
                        folder.resolve(
                                String.format(
                                        "%s%019d%s",
                                        AuditLogReader.PREFIX,
                                        chain.head().number() + 1,
                                        AuditLogReader.SUFFIX)),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING);
        size = 0;
        List<Path> files = AuditLogReader.logFiles(folder);
        for (int i = 0; i < files.size() - FILES; i++) {
            Files.deleteIfExists(files.get(i));
        }
    }

    /** What was handed over is written; returns once it is, or within a bounded time. */
    public void close() {
        over = true;
        try {
            thread.join(2_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
