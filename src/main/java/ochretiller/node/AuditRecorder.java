package ochretiller.node;

import java.io.IOException;
import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.AuditEventKind;
import ochretiller.audit.ChainFault;
import ochretiller.audit.ChainHead;
import ochretiller.audit.InvocationOutcome;
import ochretiller.audit.KeyedRun;
import ochretiller.audit.VersionUsage;
import ochretiller.audit.files.AuditLogWriter;
import ochretiller.fleet.service.RolloutEvent;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;
import ochretiller.metrics.Metrics;
import ochretiller.net.Scheduler;
import ochretiller.operator.OperatorConfig;

/**
 * Records in an audit log which version this server used and how its invocations ended. Event loop
 * thread only; the log writer writes to disk on its own thread.
 */
final class AuditRecorder implements AuditTrail {
    private static final Logger LOG = Logger.getLogger(AuditRecorder.class.getName());

    /** Time between two checks for the end of the current period. */
    private static final Duration PERIOD_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Limit on the logged faults of existing files; all of them count in the metric. */
    private static final int MAX_LOGGED_FAULTS = 10;

    private final Scheduler scheduler;
    private final LongSupplier unixMillis;
    private final AuditLogWriter writer;
    private final VersionUsage usage;
    private final boolean recordsRuns;

    /**
     * Opens the audit log; nothing is written before {@link #start}.
     *
     * @param serverName server name in the record of this start
     * @param unixMillis the wall clock, in Unix milliseconds
     * @throws IOException if the log cannot be read or written
     */
    AuditRecorder(
            Scheduler scheduler,
            OperatorConfig.Audit settings,
            String serverName,
            LongSupplier unixMillis,
            Metrics metrics)
            throws IOException {
        this.scheduler = scheduler;
        this.unixMillis = unixMillis;
        this.recordsRuns = settings.recordsRuns();
        this.usage = new VersionUsage(settings.maxPeriod());
        writer = new AuditLogWriter(settings.folder(), settings.maxBytes(), unixMillis);
        writer.initialFaults().stream().limit(MAX_LOGGED_FAULTS).forEach(AuditRecorder::logFault);
        registerMetrics(metrics);
        usage.startPeriod(unixMillis.getAsLong(), scheduler.now());
        addEvent(
                AuditEventKind.STARTED,
                0,
                serverName + ", behind record " + writer.head().number());
    }

    private static void logFault(ChainFault fault) {
        LOG.severe(() -> "audit: record " + fault.number() + ' ' + fault.description());
    }

    private void registerMetrics(Metrics metrics) {
        metrics.counterWithCallback(
                "ochretiller_audit_records_total",
                "Records of the audit that are on the disk",
                writer::writtenRecords);
        metrics.counterWithCallback(
                "ochretiller_audit_lost_total",
                "Records that the disk did not take; the audit says so itself",
                writer::lostRecords);
        metrics.gauge(
                "ochretiller_audit_waiting",
                "Records that wait for the disk",
                writer::queuedRecords);
        metrics.gauge(
                "ochretiller_audit_faults",
                "Faults found at the start in what was there",
                () -> writer.initialFaults().size());
    }

    @Override
    public void start() {
        writer.start();
        closePeriodIfDue();
    }

    private void closePeriodIfDue() {
        scheduler.runAfter(PERIOD_CHECK_INTERVAL, this::closePeriodIfDue);
        usage.closeIfDue(unixMillis.getAsLong(), scheduler.now()).ifPresent(writer::add);
    }

    private void addEvent(AuditEventKind kind, long version, String text) {
        int length = Math.min(text.length(), AuditEvent.MAX_TEXT_CHARS);
        writer.add(
                new AuditEvent(kind, version, unixMillis.getAsLong(), text.substring(0, length)));
    }

    @Override
    public void recordRolloutEvent(RolloutEvent event, long version, String hash, String text) {
        // A period covers one version and is either fenced or not, so each change starts a new one.
        if (event == RolloutEvent.VERSION_CHANGED) {
            usage.switchVersion(version, hash, unixMillis.getAsLong(), scheduler.now())
                    .ifPresent(writer::add);
        } else if (event == RolloutEvent.FENCED || event == RolloutEvent.UNFENCED) {
            writer.add(usage.closePeriod(unixMillis.getAsLong(), scheduler.now()));
        }
        addEvent(kind(event), version, text);
    }

    private static AuditEventKind kind(RolloutEvent event) {
        return switch (event) {
            case VERSION_CHANGED -> AuditEventKind.VERSION_CHANGED;
            case VERSION_REJECTED -> AuditEventKind.VERSION_REJECTED;
            case FENCED -> AuditEventKind.FENCED;
            case UNFENCED -> AuditEventKind.UNFENCED;
            case VERSION_PUBLISHED -> AuditEventKind.VERSION_PUBLISHED;
            case ROLLOUT_CHANGED -> AuditEventKind.ROLLOUT_CHANGED;
            case PEER_AUDIT_WITNESSED -> AuditEventKind.PEER_AUDIT_WITNESSED;
        };
    }

    @Override
    public void recordAnswer(RequestAttempt attempt, AnswerKind kind) {
        String operation = attempt.operation.name();
        usage.count(operation, InvocationOutcome.RECEIVED);
        switch (kind) {
            case REPLAYED -> usage.count(operation, InvocationOutcome.REPLAYED);
            case THROTTLED -> usage.count(operation, InvocationOutcome.THROTTLED);
            case ERRORED -> usage.count(operation, InvocationOutcome.ERRORED);
            default -> {
                // successes are the received invocations that are not counted otherwise
            }
        }
    }

    @Override
    public void recordRunStarted(RequestAttempt attempt) {
        usage.count(attempt.operation.name(), InvocationOutcome.EXECUTED);
        if (recordsRuns && hasRecordableToken(attempt)) {
            writer.add(new KeyedRun(attempt.version(), unixMillis.getAsLong(), attempt.token));
        }
    }

    private static boolean hasRecordableToken(RequestAttempt attempt) {
        String token = attempt.token;
        return token != null && !token.isEmpty() && token.length() <= KeyedRun.MAX_TOKEN_CHARS;
    }

    @Override
    public ChainHead chainHead() {
        return writer.head();
    }

    @Override
    public void close() {
        writer.add(usage.closePeriod(unixMillis.getAsLong(), scheduler.now()));
        addEvent(AuditEventKind.STOPPED, usage.version(), "");
        writer.close();
    }
}
