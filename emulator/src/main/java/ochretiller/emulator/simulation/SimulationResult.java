package ochretiller.emulator.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.emulator.rules.RuleChecker;
import ochretiller.emulator.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * The results of one run: billed value, outcomes and latencies of requests, in total, by operation
 * and over time. Only first requests count, not those that a client sends again after a failure.
 */
public final class SimulationResult {
    /** Interval between two samples of the fleet's state, seconds. */
    static final double SAMPLE_S = 0.5;

    private static final double BUCKET_S = 1;

    /**
     * Longest recorded latency, microseconds, beyond any client timeout that a script may set;
     * longer latencies are recorded as this value.
     */
    private static final long MAX_LATENCY_US = 3_600_000_000L;

    /** Totals over a group of requests: their possible and earned value, and their outcomes. */
    public static final class Second {
        public double offered;
        public double earned;
        public int asked;
        public int succeeded;
        public int throttled;
        public int errored;
        public int timedOut;
        public int tries;
    }

    /**
     * A sample of the fleet's state.
     *
     * @param at seconds since the start
     * @param boxes servers that are up
     * @param held attempts at the servers that are not finished
     * @param ledger calls in progress or queued at the records service
     */
    public record Look(double at, int boxes, int held, int running, int ledger) {}

    private final Scenario scenario;
    private final List<Second> seconds = new ArrayList<>();
    private final List<Look> samples = new ArrayList<>();
    private final Second heavyCallers = new Second();
    private final Second otherCallers = new Second();
    private final Map<String, Second> byOperation = new LinkedHashMap<>();
    private final Histogram latencies = new Histogram(MAX_LATENCY_US, 3);
    private double serverCrashes;
    private RuleChecker rules;
    private long executedEvents;
    private long recordsServiceCalls;
    private long recordsServiceOutages;

    SimulationResult(Scenario scenario) {
        this.scenario = scenario;
        for (int i = 0; i <= scenario.seconds() / BUCKET_S; i++) {
            seconds.add(new Second());
        }
        for (Scenario.Operation operation : scenario.operations()) {
            byOperation.put(operation.name(), new Second());
        }
    }

    private Second totalsOfSecond(double sentAt) {
        return seconds.get((int) Math.min(seconds.size() - 1, sentAt / BUCKET_S));
    }

    /** Returns the totals for the first tenth of the callers, or those for all other callers. */
    private Second callerGroup(long caller) {
        return caller < Math.max(1, scenario.traffic().callers() / 10)
                ? heavyCallers
                : otherCallers;
    }

    /** Counts a request when it is sent; one that is sent again is ignored. */
    void asked(Scenario.Operation operation, long caller, double sentAt, boolean first) {
        if (!first) {
            return;
        }
        for (Second totals :
                List.of(
                        totalsOfSecond(sentAt),
                        byOperation.get(operation.name()),
                        callerGroup(caller))) {
            totals.asked++;
            totals.offered += operation.value();
        }
    }

    /**
     * Counts the outcome of a request. Only a first request earns value; one that is sent again
     * with the same token is ignored.
     */
    void ended(
            Scenario.Operation operation,
            long caller,
            double sentAt,
            double endedAt,
            ClientRequest.End outcome,
            int attempts,
            boolean first) {
        if (!first) {
            return;
        }
        double elapsed = endedAt - sentAt;
        double valueFactor =
                outcome != ClientRequest.End.SUCCEEDED
                        ? 0
                        : elapsed <= operation.objectiveMs() / 1e3 ? 1 : operation.lateShare();
        if (outcome == ClientRequest.End.SUCCEEDED) {
            latencies.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, (long) (elapsed * 1e6))));
        }
        for (Second totals :
                List.of(
                        totalsOfSecond(sentAt),
                        byOperation.get(operation.name()),
                        callerGroup(caller))) {
            totals.earned += valueFactor * operation.value();
            totals.tries += attempts;
            switch (outcome) {
                case SUCCEEDED -> totals.succeeded++;
                case THROTTLED -> totals.throttled++;
                case ERRORED -> totals.errored++;
                case TIMED_OUT -> totals.timedOut++;
                default -> throw new IllegalStateException();
            }
        }
    }

    void died(double at) {
        serverCrashes++;
    }

    void sample(double at, int servers, int attempts, int runningJobs, int callsInProgress) {
        samples.add(new Look(at, servers, attempts, runningJobs, callsInProgress));
    }

    void over(RuleChecker checker, long events, long calls, long outages) {
        rules = checker;
        executedEvents = events;
        recordsServiceCalls = calls;
        recordsServiceOutages = outages;
    }

    /** Returns the earned share of the billed value that could be earned, 1 if there is none. */
    public double valueShare() {
        double offered = seconds.stream().mapToDouble(totals -> totals.offered).sum();
        return offered == 0
                ? 1
                : seconds.stream().mapToDouble(totals -> totals.earned).sum() / offered;
    }

    /** Returns the value share of the first tenth of the callers, who send more under skew. */
    public double loudShare() {
        return heavyCallers.offered == 0 ? 1 : heavyCallers.earned / heavyCallers.offered;
    }

    /** Returns the value share of all other callers. */
    public double othersShare() {
        return otherCallers.offered == 0 ? 1 : otherCallers.earned / otherCallers.offered;
    }

    /** Returns the lowest value share of any ten consecutive seconds. */
    public double worstTen() {
        double worst = 1;
        for (int i = 0; i + 10 <= seconds.size(); i++) {
            double offered = 0;
            double earned = 0;
            for (Second totals : seconds.subList(i, i + 10)) {
                offered += totals.offered;
                earned += totals.earned;
            }
            if (offered > 0) {
                worst = Math.min(worst, earned / offered);
            }
        }
        return worst;
    }

    /** Returns a percentile, 0 to 100, of the latency of successful requests, milliseconds. */
    public double tookMs(double percentile) {
        return latencies.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns the mean number of attempts per request. */
    public double triesEach() {
        return seconds.stream().mapToInt(totals -> totals.tries).sum()
                / (double) Math.max(1, asked());
    }

    /** Returns the number of first requests. */
    public int asked() {
        return seconds.stream().mapToInt(totals -> totals.asked).sum();
    }

    /** Returns the totals of the requests that were sent in each second of the run. */
    public List<Second> seconds() {
        return seconds;
    }

    /** Returns the samples of the fleet's state in the order of time. */
    public List<Look> looks() {
        return samples;
    }

    /** Returns the totals by the name of the operation, in the order of the scenario. */
    public Map<String, Second> byOperation() {
        return byOperation;
    }

    /** Returns the latencies of successful requests, microseconds. */
    public Histogram took() {
        return latencies;
    }

    /** Returns the number of server crashes; graceful shutdowns are not counted. */
    public double deaths() {
        return serverCrashes;
    }

    /** Returns the rule checker, null before the end of the run. */
    public RuleChecker rules() {
        return rules;
    }

    /** Returns the number of simulation events executed. */
    public long events() {
        return executedEvents;
    }

    /** Returns the number of calls to the records service. */
    public long calls() {
        return recordsServiceCalls;
    }

    /** Returns how often too many queued calls took the records service down. */
    public long falls() {
        return recordsServiceOutages;
    }

    /** Returns one line for each expectation of the scenario that this run misses. */
    public List<String> missed() {
        List<String> messages = new ArrayList<>();
        if (valueShare() < scenario.expect().valueShare()) {
            messages.add(
                    String.format(
                            java.util.Locale.ROOT,
                            "value share %.3f under %.3f",
                            valueShare(),
                            scenario.expect().valueShare()));
        }
        if (scenario.expect().p99Ms() > 0 && tookMs(99) > scenario.expect().p99Ms()) {
            messages.add(
                    String.format(
                            java.util.Locale.ROOT,
                            "p99 of %.0f ms over %.0f",
                            tookMs(99),
                            scenario.expect().p99Ms()));
        }
        if (scenario.expect().rules() && rules.count() > 0) {
            messages.add(rules.count() + " broken rules, first " + rules.broken().get(0));
        }
        return messages;
    }
}
