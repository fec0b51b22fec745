package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What a played script showed. */
public final class FleetOutcome {
    /**
     * Time behind the last fault until all views were equal and right for good; infinite where they
     * never were.
     */
    public double settledS = Double.POSITIVE_INFINITY;

    /** Verdicts on members that were alive and could be heard. */
    public int falseVerdicts;

    /** Most times that one member was judged silent by another within one fault. */
    public int changesEach;

    /** Milliseconds from a kill until each survivor knew. */
    public final List<Double> knownMs = new ArrayList<>();

    public int verdicts;
    public long packets;
    public long bytes;
    public long ticks;
    public long refuted;
    public long suspected;
    public double memberSeconds;

    /** Most packets that one server sent in a second. */
    public int mostPackets;

    public double mostBytes;

    /** Time in the decisions, on the machine that plays it. */
    public long decisionNanos;

    public int twins;
    public final List<String> notes = new ArrayList<>();

    /** What was expected and did not come. */
    public List<String> missed(FleetScenario.Expect expect) {
        List<String> missed = new ArrayList<>();
        if (expect.settledS() > 0 && settledS > expect.settledS()) {
            missed.add(
                    String.format(
                            Locale.ROOT,
                            "settled %.1f s behind the last fault, not within %.1f",
                            settledS,
                            expect.settledS()));
        }
        if (expect.falseVerdicts() >= 0 && falseVerdicts > expect.falseVerdicts()) {
            missed.add(
                    falseVerdicts
                            + " verdicts on members that were alive and could be heard, over "
                            + expect.falseVerdicts());
        }
        if (expect.changesEach() >= 0 && changesEach > expect.changesEach()) {
            missed.add(
                    changesEach
                            + " changes of verdict on one member, over "
                            + expect.changesEach());
        }
        return missed;
    }

    /** Of the times from kills until survivors knew, in milliseconds. */
    public double knownMs(double percentile) {
        if (knownMs.isEmpty()) {
            return Double.NaN;
        }
        List<Double> sorted = new ArrayList<>(knownMs);
        sorted.sort(null);
        return sorted.get(
                (int) Math.min(sorted.size() - 1, Math.ceil(percentile / 100 * sorted.size()) - 1));
    }
}
