package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutState;

/**
 * How a rollout goes on, as one voter sees it: any of them carries it on from what is agreed, so it
 * outlives whoever began it. What a voter has seen of the servers is its own; what follows is
 * agreed on as an epoch.
 */
public final class RolloutController {
    /**
     * Part of the servers that may be behind, or refuse, and are left so: beyond it the rollout
     * stops.
     */
    private static final double MOST_OUT = 0.2;

    /** Times its patience that a stage may take before the rollout halts. */
    private static final int STUCK = 4;

    private final Duration wait;
    private final Duration patience;
    private final boolean takesBack;
    private final Map<String, VersionReport> reports = new HashMap<>();

    /** What each server told first of the version before, once this rollout was seen. */
    private final Map<String, VersionCounters> baseline = new HashMap<>();

    private RolloutState seen = RolloutState.NONE;
    private Duration since = Duration.ZERO;
    private Duration settled;
    private String haltReason = "";

    /**
     * @param wait how long each stage is watched once its servers act on the version
     * @param patience how long servers may take to come to act on it
     * @param takesBack whether one that does harm is taken back by itself, and not only halted
     */
    public RolloutController(Duration wait, Duration patience, boolean takesBack) {
        this.wait = wait;
        this.patience = patience;
        this.takesBack = takesBack;
    }

    /**
     * What a server has said last; servers that are no more have to be named by {@link #nextState}.
     */
    public void recordReport(String name, VersionReport report) {
        reports.put(name, report);
        counts(name, report);
    }

    private void counts(String name, VersionReport report) {
        if (!seen.isComplete() && report.rolloutVersion() == seen.target().number()) {
            baseline.putIfAbsent(name, report.baseline());
        }
    }

    /** Why the last one was halted or taken back; empty where none was. */
    public String haltReason() {
        return haltReason;
    }

    private void look(RolloutState rollout, Duration now) {
        if (rollout.equals(seen)) {
            return;
        }
        if (rollout.target().number() != seen.target().number()) {
            baseline.clear();
        }
        seen = rollout;
        since = now;
        settled = null;
        reports.forEach(this::counts);
    }

    /**
     * What is to be agreed on next, or nothing.
     *
     * @param live servers that are there
     */
    public Optional<RolloutState> nextState(
            ReplicaPlacement layout, Set<String> live, Duration now) {
        RolloutState rollout = layout.rollout();
        look(rollout, now);
        reports.keySet().retainAll(live);
        baseline.keySet().retainAll(live);
        if (rollout.phase() != RolloutState.Phase.RUNNING) {
            return Optional.empty();
        }
        Set<String> turn = new TreeSet<>();
        for (String each : live) {
            if (RolloutStages.includes(layout, each)) {
                turn.add(each);
            }
        }
        Optional<String> harm = harm(rollout, live, turn);
        if (harm.isPresent()) {
            haltReason = harm.get();
            return Optional.of(
                    takesBack
                            ? rollout.rolledBack("the fleet", text("taken back: " + haltReason))
                            : rollout.withPhase(RolloutState.Phase.HALTED));
        }
        // Servers that need longer than any reason for it: it is not known what keeps them.
        boolean stuck =
                now.minus(since).compareTo(patience.multipliedBy(STUCK)) >= 0 && settled == null;
        if (stuck) {
            haltReason = "its servers do not come to act on it";
            return Optional.of(rollout.withPhase(RolloutState.Phase.HALTED));
        }
        long behind =
                turn.stream().filter(each -> isBehind(reports.get(each), rollout.target())).count();
        boolean enough =
                behind == 0
                        || now.minus(since).compareTo(patience) >= 0
                                && behind <= MOST_OUT * turn.size();
        if (turn.isEmpty() || !enough) {
            settled =
                    null; // who acted on it is gone, and what was seen of it is no reason to go on
            return Optional.empty();
        }
        if (settled == null) {
            settled = now;
        }
        if (now.minus(settled).compareTo(wait) < 0) {
            return Optional.empty();
        }
        return Optional.of(
                rollout.stage() < RolloutStages.ALL_SERVERS
                        ? rollout.withStage(rollout.stage() + 1)
                        : rollout.completed());
    }

    private static String text(String why) {
        return why.substring(
                0, Math.min(why.length(), RolloutState.PublishedVersion.MAX_TEXT_LENGTH));
    }

    /**
     * Whether a server that has come to its turn does not act on the version, as far as it has
     * said.
     */
    static boolean isBehind(VersionReport report, RolloutState.PublishedVersion version) {
        return report == null
                || report.activeVersion() != version.number()
                || !report.activeHash().equals(version.hash());
    }

    private Optional<String> harm(RolloutState rollout, Set<String> live, Set<String> turn) {
        long refuse =
                turn.stream()
                        .map(reports::get)
                        .filter(
                                each ->
                                        each != null
                                                && each.rejectedVersion()
                                                        == rollout.target().number())
                        .count();
        // At first any refusal counts; at last, one that cannot is a straggler, which is shut out.
        boolean stops =
                rollout.stage() < RolloutStages.ALL_SERVERS
                        ? refuse > 0
                        : refuse > MOST_OUT * turn.size();
        if (stops) {
            String who =
                    turn.stream()
                            .filter(
                                    each ->
                                            reports.get(each) != null
                                                    && reports.get(each).rejectedVersion()
                                                            == rollout.target().number())
                            .findFirst()
                            .orElseThrow();
            return Optional.of(who + " refuses it: " + reports.get(who).rejectionReason());
        }
        VersionCounters changed = VersionCounters.ZERO;
        VersionCounters unchanged = VersionCounters.ZERO;
        for (String each : live) {
            VersionReport report = reports.get(each);
            if (report == null || report.rolloutVersion() != rollout.target().number()) {
                continue;
            }
            changed = changed.plus(report.candidate());
            unchanged =
                    unchanged.plus(
                            report.baseline()
                                    .since(baseline.getOrDefault(each, VersionCounters.ZERO)));
        }
        return CanaryComparison.findRegression(changed, unchanged);
    }
}
