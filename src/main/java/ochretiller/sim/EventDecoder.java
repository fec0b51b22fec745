package ochretiller.sim;

import java.time.Duration;
import java.util.Map;
import ochretiller.model.CallOutcome;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.model.TenantId;
import ochretiller.settings.MalformedException;

/**
 * Decodes the fields of the simulator's events into model values. Stateless apart from the server's
 * settings.
 */
final class EventDecoder {
    /** The tenant's name on the wire if an arrival has no tenant. */
    private static final String NO_TENANT = "0";

    private final Map<String, Operation> operations;
    private final boolean deadlinesOnWire;

    /**
     * Creates a decoder for the events of one server.
     *
     * @param operations the server's operations by name
     * @param deadlinesOnWire whether arrivals carry the time left until their deadline
     */
    EventDecoder(Map<String, Operation> operations, boolean deadlinesOnWire) {
        this.operations = operations;
        this.deadlinesOnWire = deadlinesOnWire;
    }

    Invocation invocation(WireFields fields, Duration now) {
        Operation operation = operations.get(fields.text("kind"));
        if (operation == null) {
            throw new MalformedException(
                    "unknown operation in field kind: '" + fields.text("kind") + "'");
        }
        long original = fields.wholeNumber("prior", 0);
        Duration arrivedAt = now.minus(fields.duration("ageNs", Duration.ZERO));
        String tenant = fields.text("team", NO_TENANT);
        return new Invocation(
                invocationId(fields),
                original == 0 ? null : new InvocationId(original),
                operation,
                fields.number("sizeKb", 0),
                arrivedAt,
                deadline(fields, operation, arrivedAt, now),
                fields.duration("workHintNs", null),
                new ClientId(fields.wholeNumber("srcPeer", 0)),
                tenant.equals(NO_TENANT) ? null : new TenantId(tenant),
                fields.flag("resent"));
    }

    private Duration deadline(
            WireFields fields, Operation operation, Duration arrivedAt, Duration now) {
        Duration timeBudget = timeBudget(fields);
        return deadlinesOnWire && !timeBudget.isZero()
                ? now.plus(timeBudget)
                : arrivedAt.plus(operation.clientTimeout());
    }

    static InvocationId invocationId(WireFields fields) {
        return new InvocationId(fields.wholeNumber("msgId"));
    }

    static Duration timeBudget(WireFields fields) {
        return fields.duration("timeBudgetNs", Duration.ZERO);
    }

    static long timerId(WireFields fields) {
        return fields.wholeNumber("name");
    }

    static RunOutcome runOutcome(WireFields fields) {
        String how = fields.text("how");
        RunOutcome.Status status =
                switch (how) {
                    case "GOOD" -> RunOutcome.Status.SUCCEEDED;
                    case "BAD" -> RunOutcome.Status.FAILED;
                    case "CXL" -> RunOutcome.Status.STOPPED;
                    case "NOP" -> RunOutcome.Status.NEVER_STARTED;
                    default ->
                            throw new MalformedException(
                                    "unknown run outcome in field how: '" + how + "'");
                };
        return new RunOutcome(status, elapsed(fields));
    }

    static CallOutcome callOutcome(WireFields fields) {
        String how = fields.text("how");
        CallOutcome.Status status =
                switch (how) {
                    case "GOOD" -> CallOutcome.Status.SUCCEEDED;
                    case "BAD" -> CallOutcome.Status.FAILED;
                    case "LATE" -> CallOutcome.Status.TIMED_OUT;
                    case "RST", "CXL" -> CallOutcome.Status.RESET;
                    case "FULL" -> CallOutcome.Status.REJECTED;
                    case "NOCONN", "NOP" -> CallOutcome.Status.UNREACHABLE;
                    default ->
                            throw new MalformedException(
                                    "unknown call outcome in field how: '" + how + "'");
                };
        return new CallOutcome(status, elapsed(fields));
    }

    private static Duration elapsed(WireFields fields) {
        return fields.duration("timeTakenNs", Duration.ZERO);
    }

    static ResourceGauges gauges(WireFields fields) {
        WireFields gauges = WireFields.parseGauges(fields.text("serverStats", ""));
        return new ResourceGauges(
                gauges.number("core_use", Double.NaN),
                gauges.number("on_cores", Double.NaN),
                gauges.number("heap_share", Double.NaN),
                gauges.number("links", Double.NaN));
    }
}
