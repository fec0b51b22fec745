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
    static final double SAMPLE_INTERVAL_S = 0.5;

    private static final double BUCKET_S = 1;

    /**
     * Longest recorded latency, microseconds, beyond any client timeout that a script may set;
     * longer latencies are recorded as this value.
     */
    private static final long MAX_LATENCY_US = 3_600_000_000L;

    /** Totals over a group of requests: their offered and earned value, and their outcomes. */
    public static final class Totals {
        public double offered;
        public double earned;
        public int requests;
        public int succeeded;
        public int throttled;
        public int errored;
        public int timedOut;
        public int attempts;
    }

    /**
     * A sample of the fleet's state.
     *
     * @param atSeconds seconds since the start
     * @param servers servers that are up
     * @param attempts attempts at the servers that are not finished
     * @param callsInProgress calls in progress or queued at the records service
     */
    public record Sample(
            double atSeconds, int servers, int attempts, int runningJobs, int callsInProgress) {}

    private final Scenario scenario;
    private final List<Totals> totalsPerSecond = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();
    private final Totals heavyCallers = new Totals();
    private final Totals otherCallers = new Totals();
    private final Map<String, Totals> byOperation = new LinkedHashMap<>();
    private final Histogram latencies = new Histogram(MAX_LATENCY_US, 3);
    private double serverCrashes;
    private RuleChecker rules;
    private long executedEvents;
    private long recordsServiceCalls;
    private long recordsServiceOutages;

    SimulationResult(Scenario scenario) {
        this.scenario = scenario;
        for (int i = 0; i <= scenario.seconds() / BUCKET_S; i++) {
            totalsPerSecond.add(new Totals());
        }
        for (Scenario.Operation operation : scenario.operations()) {
            byOperation.put(operation.name(), new Totals());
        }
    }

    private Totals totalsOfSecond(double sentAt) {
        return totalsPerSecond.get((int) Math.min(totalsPerSecond.size() - 1, sentAt / BUCKET_S));
    }

    /** Returns the totals for the first tenth of the callers, or those for all other callers. */
    private Totals callerGroup(long caller) {
        return caller < Math.max(1, scenario.traffic().callers() / 10)
                ? heavyCallers
                : otherCallers;
    }

    /** Counts a request when it is sent; one that is sent again is ignored. */
    void countRequests(Scenario.Operation operation, long caller, double sentAt, boolean first) {
        if (!first) {
            return;
        }
        for (Totals totals :
                List.of(
                        totalsOfSecond(sentAt),
                        byOperation.get(operation.name()),
                        callerGroup(caller))) {
            totals.requests++;
            totals.offered += operation.value();
        }
    }

    /**
     * Counts the outcome of a request. Only a first request earns value; one that is sent again
     * with the same token is ignored.
     */
    void countOutcome(
            Scenario.Operation operation,
            long caller,
            double sentAt,
            double endedAt,
            ClientRequest.Outcome outcome,
            int attempts,
            boolean first) {
        if (!first) {
            return;
        }
        double elapsed = endedAt - sentAt;
        double valueFactor =
                outcome != ClientRequest.Outcome.SUCCEEDED
                        ? 0
                        : elapsed <= operation.objectiveMs() / 1e3 ? 1 : operation.lateShare();
        if (outcome == ClientRequest.Outcome.SUCCEEDED) {
            latencies.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, (long) (elapsed * 1e6))));
        }
        for (Totals totals :
                List.of(
                        totalsOfSecond(sentAt),
                        byOperation.get(operation.name()),
                        callerGroup(caller))) {
            totals.earned += valueFactor * operation.value();
            totals.attempts += attempts;
            switch (outcome) {
                case SUCCEEDED -> totals.succeeded++;
                case THROTTLED -> totals.throttled++;
                case ERRORED -> totals.errored++;
                case TIMED_OUT -> totals.timedOut++;
                default -> throw new IllegalStateException();
            }
        }
    }

    void countServerCrash(double at) {
        serverCrashes++;
    }

    void addSample(double at, int servers, int attempts, int runningJobs, int callsInProgress) {
        samples.add(new Sample(at, servers, attempts, runningJobs, callsInProgress));
    }

    void finish(RuleChecker checker, long events, long calls, long outages) {
        rules = checker;
        executedEvents = events;
        recordsServiceCalls = calls;
        recordsServiceOutages = outages;
    }

    /** Returns the earned share of the billed value that could be earned, 1 if there is none. */
    public double valueShare() {
        double offered = totalsPerSecond.stream().mapToDouble(totals -> totals.offered).sum();
        return offered == 0
                ? 1
                : totalsPerSecond.stream().mapToDouble(totals -> totals.earned).sum() / offered;
    }

    /** Returns the value share of the first tenth of the callers, who send more under skew. */
    public double heavyCallersValueShare() {
        return heavyCallers.offered == 0 ? 1 : heavyCallers.earned / heavyCallers.offered;
    }

    /** Returns the value share of all other callers. */
    public double otherCallersValueShare() {
        return otherCallers.offered == 0 ? 1 : otherCallers.earned / otherCallers.offered;
    }

    /** Returns the lowest value share of any ten consecutive seconds. */
    public double worstTenSecondsValueShare() {
        double worst = 1;
        for (int i = 0; i + 10 <= totalsPerSecond.size(); i++) {
            double offered = 0;
            double earned = 0;
            for (Totals totals : totalsPerSecond.subList(i, i + 10)) {
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
    public double latencyMs(double percentile) {
        return latencies.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns the mean number of attempts per request. */
    public double attemptsPerRequest() {
        return totalsPerSecond.stream().mapToInt(totals -> totals.attempts).sum()
                / (double) Math.max(1, countRequests());
    }

    /** Returns the number of first requests. */
    public int countRequests() {
        return totalsPerSecond.stream().mapToInt(totals -> totals.requests).sum();
    }

    /** Returns the totals of the requests that were sent in each second of the run. */
    public List<Totals> totalsPerSecond() {
        return totalsPerSecond;
    }

    /** Returns the samples of the fleet's state in the order of time. */
    public List<Sample> samples() {
        return samples;
    }

    /** Returns the totals by the name of the operation, in the order of the scenario. */
    public Map<String, Totals> byOperation() {
        return byOperation;
    }

    /** Returns the latencies of successful requests, microseconds. */
    public Histogram latencies() {
        return latencies;
    }

    /** Returns the number of server crashes; graceful shutdowns are not counted. */
    public double serverCrashes() {
        return serverCrashes;
    }

    /** Returns the rule checker, null before the end of the run. */
    public RuleChecker rules() {
        return rules;
    }

    /** Returns the number of simulation events executed. */
    public long executedEvents() {
        return executedEvents;
    }

    /** Returns the number of calls to the records service. */
    public long recordsServiceCalls() {
        return recordsServiceCalls;
    }

    /** Returns how often too many queued calls took the records service down. */
    public long recordsServiceOutages() {
        return recordsServiceOutages;
    }

    /** Returns one line for each expectation of the scenario that this run misses. */
    public List<String> missedExpectations() {
        List<String> messages = new ArrayList<>();
        if (valueShare() < scenario.expect().valueShare()) {
            messages.add(
                    String.format(
                            java.util.Locale.ROOT,
                            "value share %.3f under %.3f",
                            valueShare(),
                            scenario.expect().valueShare()));
        }
        if (scenario.expect().p99Ms() > 0 && latencyMs(99) > scenario.expect().p99Ms()) {
            messages.add(
                    String.format(
                            java.util.Locale.ROOT,
                            "p99 of %.0f ms over %.0f",
                            latencyMs(99),
                            scenario.expect().p99Ms()));
        }
        if (scenario.expect().rules() && rules.violationCount() > 0) {
            messages.add(
                    rules.violationCount() + " broken rules, first " + rules.violations().get(0));
        }
        return messages;
    }
}
