package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Results of a membership simulation. */
public final class FleetOutcome {
    /**
     * Seconds from the last fault until all views stayed equal and correct; infinite if they never
     * did.
     */
    public double settleTimeS = Double.POSITIVE_INFINITY;

    /** Verdicts that a member is unresponsive although it was alive and reachable. */
    public int falseVerdicts;

    /** Most verdicts of one member that the same other member is unresponsive. */
    public int maxVerdictsPerPair;

    /** Milliseconds from each kill until a survivor detected it, one value for each survivor. */
    public final List<Double> detectionMs = new ArrayList<>();

    public int verdicts;
    public long packets;
    public long bytes;
    public long ticks;
    public long refutations;
    public long suspicions;
    public double memberSeconds;

    /** Most packets that any server sent in one second. */
    public int maxPacketsPerSecond;

    public double maxBytesPerSecond;

    /** Processing time of the protocol code, in nanoseconds of real time. */
    public long protocolNanos;

    public int duplicateNames;
    public final List<String> notes = new ArrayList<>();

    /** Describes each expectation that was not met; empty if all were. */
    public List<String> unmetExpectations(FleetScenario.Expect expect) {
        List<String> missed = new ArrayList<>();
        if (expect.settledS() > 0 && settleTimeS > expect.settledS()) {
            missed.add(
                    String.format(
                            Locale.ROOT,
                            "settled %.1f s behind the last fault, not within %.1f",
                            settleTimeS,
                            expect.settledS()));
        }
        if (expect.falseVerdicts() >= 0 && falseVerdicts > expect.falseVerdicts()) {
            missed.add(
                    falseVerdicts
                            + " verdicts on members that were alive and could be heard, over "
                            + expect.falseVerdicts());
        }
        if (expect.changesEach() >= 0 && maxVerdictsPerPair > expect.changesEach()) {
            missed.add(
                    maxVerdictsPerPair
                            + " changes of verdict on one member, over "
                            + expect.changesEach());
        }
        return missed;
    }

    /** Returns a percentile of the detection times, in milliseconds; NaN if there are none. */
    public double detectionMs(double percentile) {
        if (detectionMs.isEmpty()) {
            return Double.NaN;
        }
        List<Double> sorted = new ArrayList<>(detectionMs);
        sorted.sort(null);
        return sorted.get(
                (int) Math.min(sorted.size() - 1, Math.ceil(percentile / 100 * sorted.size()) - 1));
    }
}
