package ochretiller.emulator.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.emulator.rules.RuleChecker;
import ochretiller.emulator.scenario.Scenario;
import org.HdrHistogram.Histogram;

/** What came of one run: billed value, answers, waits, and how they went over time. */
public final class SimulationResult {
    /** Time between two looks at the fleet, seconds. */
    static final double SAMPLE_S = 0.5;

    private static final double BUCKET_S = 1;

    /**
     * Longest time that is told apart, microseconds: beyond any client timeout that a script may
     * have is counted as this.
     */
    private static final long LONGEST_US = 3_600_000_000L;

    /** One second of arrivals: what they could earn, what they earned, and how they ended. */
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

    /** A look at the fleet. */
    public record Look(double at, int boxes, int held, int running, int ledger) {}

    private final Scenario script;
    private final List<Second> seconds = new ArrayList<>();
    private final List<Look> looks = new ArrayList<>();
    private final Second loud = new Second();
    private final Second others = new Second();
    private final Map<String, Second> byOperation = new LinkedHashMap<>();
    private final Histogram took = new Histogram(LONGEST_US, 3);
    private double deaths;
    private RuleChecker rules;
    private long events;
    private long calls;
    private long falls;

    SimulationResult(Scenario script) {
        this.script = script;
        for (int i = 0; i <= script.seconds() / BUCKET_S; i++) {
            seconds.add(new Second());
        }
        for (Scenario.Operation each : script.operations()) {
            byOperation.put(each.name(), new Second());
        }
    }

    private Second at(double askedAt) {
        return seconds.get((int) Math.min(seconds.size() - 1, askedAt / BUCKET_S));
    }

    /** The first tenth of the callers, who may be loud, and all others. */
    private Second side(long caller) {
        return caller < Math.max(1, script.traffic().callers() / 10) ? loud : others;
    }

    void asked(Scenario.Operation plan, long caller, double at, boolean first) {
        if (!first) {
            return;
        }
        for (Second each : List.of(at(at), byOperation.get(plan.name()), side(caller))) {
            each.asked++;
            each.offered += plan.value();
        }
    }

    /**
     * A caller's part is over; only what it asked first earns, a return under the same key only
     * shows what became of it.
     */
    void ended(
            Scenario.Operation plan,
            long caller,
            double askedAt,
            double now,
            ClientRequest.End end,
            int tries,
            boolean first) {
        if (!first) {
            return;
        }
        double spent = now - askedAt;
        double worth =
                end != ClientRequest.End.SUCCEEDED
                        ? 0
                        : spent <= plan.objectiveMs() / 1e3 ? 1 : plan.lateShare();
        if (end == ClientRequest.End.SUCCEEDED) {
            took.recordValue(Math.min(LONGEST_US, Math.max(1, (long) (spent * 1e6))));
        }
        for (Second each : List.of(at(askedAt), byOperation.get(plan.name()), side(caller))) {
            each.earned += worth * plan.value();
            each.tries += tries;
            switch (end) {
                case SUCCEEDED -> each.succeeded++;
                case THROTTLED -> each.throttled++;
                case ERRORED -> each.errored++;
                case TIMED_OUT -> each.timedOut++;
                default -> throw new IllegalStateException();
            }
        }
    }

    void died(double at) {
        deaths++;
    }

    void sample(double at, int boxes, int held, int running, int ledger) {
        looks.add(new Look(at, boxes, held, running, ledger));
    }

    void over(RuleChecker held, long done, long called, long fell) {
        rules = held;
        events = done;
        calls = called;
        falls = fell;
    }

    /** Billed value earned, as a share of what could be earned. */
    public double valueShare() {
        double offered = seconds.stream().mapToDouble(each -> each.offered).sum();
        return offered == 0 ? 1 : seconds.stream().mapToDouble(each -> each.earned).sum() / offered;
    }

    /**
     * The same of the first tenth of the callers, to whom {@code skew} gives more than their part.
     */
    public double loudShare() {
        return loud.offered == 0 ? 1 : loud.earned / loud.offered;
    }

    /** The same of all other callers. */
    public double othersShare() {
        return others.offered == 0 ? 1 : others.earned / others.offered;
    }

    /** The same over the worst ten seconds on end. */
    public double worstTen() {
        double worst = 1;
        for (int i = 0; i + 10 <= seconds.size(); i++) {
            double offered = 0;
            double earned = 0;
            for (Second each : seconds.subList(i, i + 10)) {
                offered += each.offered;
                earned += each.earned;
            }
            if (offered > 0) {
                worst = Math.min(worst, earned / offered);
            }
        }
        return worst;
    }

    /** Milliseconds within which this percentage of those that succeeded did. */
    public double tookMs(double percentile) {
        return took.getValueAtPercentile(percentile) / 1e3;
    }

    /** Tries for each that was asked. */
    public double triesEach() {
        return seconds.stream().mapToInt(each -> each.tries).sum() / (double) Math.max(1, asked());
    }

    public int asked() {
        return seconds.stream().mapToInt(each -> each.asked).sum();
    }

    public List<Second> seconds() {
        return seconds;
    }

    public List<Look> looks() {
        return looks;
    }

    public Map<String, Second> byOperation() {
        return byOperation;
    }

    public Histogram took() {
        return took;
    }

    public double deaths() {
        return deaths;
    }

    public RuleChecker rules() {
        return rules;
    }

    public long events() {
        return events;
    }

    public long calls() {
        return calls;
    }

    public long falls() {
        return falls;
    }

    /** What the script asks for and this run does not have, a line each. */
    public List<String> missed() {
        List<String> missed = new ArrayList<>();
        if (valueShare() < script.expect().valueShare()) {
            missed.add(
                    String.format(
                            java.util.Locale.ROOT,
                            "value share %.3f under %.3f",
                            valueShare(),
                            script.expect().valueShare()));
        }
        if (script.expect().p99Ms() > 0 && tookMs(99) > script.expect().p99Ms()) {
            missed.add(
                    String.format(
                            java.util.Locale.ROOT,
                            "p99 of %.0f ms over %.0f",
                            tookMs(99),
                            script.expect().p99Ms()));
        }
        if (script.expect().rules() && rules.count() > 0) {
            missed.add(rules.count() + " broken rules, first " + rules.broken().get(0));
        }
        return missed;
    }
}
