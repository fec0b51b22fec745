package ochretiller.node;

import java.io.IOException;
import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import ochretiller.audit.Chain;
import ochretiller.audit.Entry;
import ochretiller.audit.Spans;
import ochretiller.audit.files.AuditWriter;
import ochretiller.fleet.peers.Versions;
import ochretiller.front.Ending;
import ochretiller.front.Try;
import ochretiller.metrics.Metrics;
import ochretiller.net.Schedule;
import ochretiller.operator.Operator;

/**
 * Tells the audit what this server acts on and what becomes of it. On the one thread; the disk is
 * the writer's.
 */
final class Auditor {
    private static final Logger LOG = Logger.getLogger(Auditor.class.getName());
    private static final Duration LOOKS = Duration.ofSeconds(1);

    /** Faults of former files that get a line each. */
    private static final int LINES = 10;

    private final Schedule schedule;
    private final LongSupplier unixMs;
    private final AuditWriter writer;
    private final Spans spans;
    private final boolean runs;

    Auditor(
            Schedule schedule,
            Operator.Audit told,
            String name,
            LongSupplier unixMs,
            Metrics metrics)
            throws IOException {
        this.schedule = schedule;
        this.unixMs = unixMs;
        this.runs = told.runs();
        this.spans = new Spans(told.span());
        writer = new AuditWriter(told.folder(), told.mostBytes(), unixMs);
        writer.faults().stream()
                .limit(LINES)
                .forEach(
                        fault ->
                                LOG.severe(
                                        () ->
                                                "audit: record "
                                                        + fault.number()
                                                        + ' '
                                                        + fault.text()));
        metrics.counted(
                "ochretiller_audit_records_total",
                "Records of the audit that are on the disk",
                writer::written);
        metrics.counted(
                "ochretiller_audit_lost_total",
                "Records that the disk did not take; the audit says so itself",
                writer::lost);
        metrics.gauge(
                "ochretiller_audit_waiting", "Records that wait for the disk", writer::waiting);
        metrics.gauge(
                "ochretiller_audit_faults",
                "Faults found at the start in what was there",
                () -> writer.faults().size());
        spans.start(unixMs.getAsLong(), schedule.now());
        event(Entry.Kind.STARTED, 0, name + ", behind record " + writer.head().number());
    }

    void start() {
        writer.start();
        look();
    }

    private void look() {
        schedule.after(LOOKS, this::look);
        spans.due(unixMs.getAsLong(), schedule.now()).ifPresent(writer::add);
    }

    private void event(Entry.Kind kind, long version, String text) {
        writer.add(
                new Entry.Event(
                        kind,
                        version,
                        unixMs.getAsLong(),
                        text.substring(0, Math.min(text.length(), Entry.Event.LONGEST))));
    }

    /** Something has happened to a version here. */
    void told(Versions.What what, long version, String hash, String text) {
        // A span is of one kind all through: what was acted on before stands in a span of its own.
        if (what == Versions.What.CHANGED) {
            spans.begin(version, hash, unixMs.getAsLong(), schedule.now()).ifPresent(writer::add);
        } else if (what == Versions.What.SHUT_OUT || what == Versions.What.LET_IN) {
            writer.add(spans.end(unixMs.getAsLong(), schedule.now()));
        }
        event(kind(what), version, text);
    }

    private static Entry.Kind kind(Versions.What what) {
        return switch (what) {
            case CHANGED -> Entry.Kind.CHANGED;
            case REFUSED -> Entry.Kind.REFUSED;
            case SHUT_OUT -> Entry.Kind.SHUT_OUT;
            case LET_IN -> Entry.Kind.LET_IN;
            case PUBLISHED -> Entry.Kind.PUBLISHED;
            case ROLLOUT -> Entry.Kind.ROLLOUT;
            case WITNESSED -> Entry.Kind.WITNESSED;
        };
    }

    void answered(Try inv, Ending how) {
        spans.count(inv.operation.name(), Spans.What.READ);
        switch (how) {
            case REPLAYED -> spans.count(inv.operation.name(), Spans.What.REPLAYED);
            case THROTTLED -> spans.count(inv.operation.name(), Spans.What.THROTTLED);
            case ERRORED -> spans.count(inv.operation.name(), Spans.What.ERRORED);
            default -> {}
        }
    }

    /** A run is begun: of a tokened one it can be told later, under which version. */
    void begun(Try inv) {
        spans.count(inv.operation.name(), Spans.What.RUN);
        boolean fits =
                inv.token != null
                        && !inv.token.isEmpty()
                        && inv.token.length() <= Entry.Run.LONGEST;
        if (runs && fits) {
            writer.add(new Entry.Run(inv.version(), unixMs.getAsLong(), inv.token));
        }
    }

    /** Where the chain on the disk ends, for others to know. */
    Chain.Head head() {
        return writer.head();
    }

    void close() {
        writer.add(spans.end(unixMs.getAsLong(), schedule.now()));
        event(Entry.Kind.ENDED, spans.version(), "");
        writer.close();
    }
}
