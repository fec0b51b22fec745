package ochretiller.node;

import java.io.IOException;
import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.AuditEventKind;
import ochretiller.audit.ChainHead;
import ochretiller.audit.InvocationOutcome;
import ochretiller.audit.KeyedRun;
import ochretiller.audit.VersionUsage;
import ochretiller.audit.files.AuditLogWriter;
import ochretiller.fleet.service.RolloutService;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;
import ochretiller.metrics.Metrics;
import ochretiller.net.Scheduler;
import ochretiller.operator.OperatorConfig;

/**
 * Tells the audit what this server acts on and what becomes of it. On the one thread; the disk is
 * the writer's.
 */
final class AuditRecorder {
    private static final Logger LOG = Logger.getLogger(AuditRecorder.class.getName());
    private static final Duration LOOKS = Duration.ofSeconds(1);

    /** Faults of former files that get a line each. */
    private static final int LINES = 10;

    private final Scheduler schedule;
    private final LongSupplier unixMs;
    private final AuditLogWriter writer;
    private final VersionUsage spans;
    private final boolean runs;

    AuditRecorder(
            Scheduler schedule,
            OperatorConfig.Audit told,
            String name,
            LongSupplier unixMs,
            Metrics metrics)
            throws IOException {
        this.schedule = schedule;
        this.unixMs = unixMs;
        this.runs = told.runs();
        this.spans = new VersionUsage(told.span());
        writer = new AuditLogWriter(told.folder(), told.mostBytes(), unixMs);
        writer.recoveredFaults().stream()
                .limit(LINES)
                .forEach(
                        fault ->
                                LOG.severe(
                                        () ->
                                                "audit: record "
                                                        + fault.number()
                                                        + ' '
                                                        + fault.description()));
        metrics.counted(
                "ochretiller_audit_records_total",
                "Records of the audit that are on the disk",
                writer::writtenRecords);
        metrics.counted(
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
                () -> writer.recoveredFaults().size());
        spans.startPeriod(unixMs.getAsLong(), schedule.now());
        event(AuditEventKind.STARTED, 0, name + ", behind record " + writer.head().number());
    }

    void start() {
        writer.start();
        look();
    }

    private void look() {
        schedule.after(LOOKS, this::look);
        spans.closeIfDue(unixMs.getAsLong(), schedule.now()).ifPresent(writer::add);
    }

    private void event(AuditEventKind kind, long version, String text) {
        writer.add(
                new AuditEvent(
                        kind,
                        version,
                        unixMs.getAsLong(),
                        text.substring(0, Math.min(text.length(), AuditEvent.MAX_TEXT_CHARS))));
    }

    /** Something has happened to a version here. */
    void recordRolloutEvent(RolloutService.What what, long version, String hash, String text) {
        // A span is of one kind all through: what was acted on before stands in a span of its own.
        if (what == RolloutService.What.CHANGED) {
            spans.switchVersion(version, hash, unixMs.getAsLong(), schedule.now())
                    .ifPresent(writer::add);
        } else if (what == RolloutService.What.SHUT_OUT || what == RolloutService.What.LET_IN) {
            writer.add(spans.closePeriod(unixMs.getAsLong(), schedule.now()));
        }
        event(kind(what), version, text);
    }

    private static AuditEventKind kind(RolloutService.What what) {
        return switch (what) {
            case CHANGED -> AuditEventKind.VERSION_CHANGED;
            case REFUSED -> AuditEventKind.VERSION_REJECTED;
            case SHUT_OUT -> AuditEventKind.FENCED;
            case LET_IN -> AuditEventKind.UNFENCED;
            case PUBLISHED -> AuditEventKind.VERSION_PUBLISHED;
            case ROLLOUT -> AuditEventKind.ROLLOUT_CHANGED;
            case WITNESSED -> AuditEventKind.PEER_AUDIT_WITNESSED;
        };
    }

    void recordAnswer(RequestAttempt inv, AnswerKind how) {
        spans.count(inv.operation.name(), InvocationOutcome.RECEIVED);
        switch (how) {
            case REPLAYED -> spans.count(inv.operation.name(), InvocationOutcome.REPLAYED);
            case THROTTLED -> spans.count(inv.operation.name(), InvocationOutcome.THROTTLED);
            case ERRORED -> spans.count(inv.operation.name(), InvocationOutcome.ERRORED);
            default -> {}
        }
    }

    /** A run is begun: of a tokened one it can be told later, under which version. */
    void recordRunStarted(RequestAttempt inv) {
        spans.count(inv.operation.name(), InvocationOutcome.EXECUTED);
        boolean fits =
                inv.token != null
                        && !inv.token.isEmpty()
                        && inv.token.length() <= KeyedRun.MAX_TOKEN_CHARS;
        if (runs && fits) {
            writer.add(new KeyedRun(inv.version(), unixMs.getAsLong(), inv.token));
        }
    }

    /** Where the chain on the disk ends, for others to know. */
    ChainHead chainHead() {
        return writer.head();
    }

    void close() {
        writer.add(spans.closePeriod(unixMs.getAsLong(), schedule.now()));
        event(AuditEventKind.STOPPED, spans.version(), "");
        writer.close();
    }
}
