package ochretiller.fleet.versions;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Rollout;

/**
 * How a rollout goes on, as one voter sees it: any of them carries it on from what is agreed, so it
 * outlives whoever began it. What a voter has seen of the servers is its own; what follows is
 * agreed on as an epoch.
 */
public final class Rollouts {
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
    private final Map<String, Report> reports = new HashMap<>();

    /** What each server told first of the version before, once this rollout was seen. */
    private final Map<String, Counts> baseline = new HashMap<>();

    private Rollout seen = Rollout.NONE;
    private Duration since = Duration.ZERO;
    private Duration settled;
    private String halted = "";

    /**
     * @param wait how long each stage is watched once its servers act on the version
     * @param patience how long servers may take to come to act on it
     * @param takesBack whether one that does harm is taken back by itself, and not only halted
     */
    public Rollouts(Duration wait, Duration patience, boolean takesBack) {
        this.wait = wait;
        this.patience = patience;
        this.takesBack = takesBack;
    }

    /** What a server has said last; servers that are no more have to be named by {@link #next}. */
    public void told(String name, Report report) {
        reports.put(name, report);
        counts(name, report);
    }

    private void counts(String name, Report report) {
        if (!seen.over() && report.about() == seen.to().number()) {
            baseline.putIfAbsent(name, report.before());
        }
    }

    /** Why the last one was halted or taken back; empty where none was. */
    public String halted() {
        return halted;
    }

    private void look(Rollout rollout, Duration now) {
        if (rollout.equals(seen)) {
            return;
        }
        if (rollout.to().number() != seen.to().number()) {
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
    public Optional<Rollout> next(Layout layout, Set<String> live, Duration now) {
        Rollout rollout = layout.rollout();
        look(rollout, now);
        reports.keySet().retainAll(live);
        baseline.keySet().retainAll(live);
        if (rollout.state() != Rollout.State.RUNS) {
            return Optional.empty();
        }
        Set<String> turn = new TreeSet<>();
        for (String each : live) {
            if (Stages.on(layout, each)) {
                turn.add(each);
            }
        }
        Optional<String> harm = harm(rollout, live, turn);
        if (harm.isPresent()) {
            halted = harm.get();
            return Optional.of(
                    takesBack
                            ? rollout.back("the fleet", text("taken back: " + halted))
                            : rollout.as(Rollout.State.HALTED));
        }
        // Servers that need longer than any reason for it: it is not known what keeps them.
        boolean stuck =
                now.minus(since).compareTo(patience.multipliedBy(STUCK)) >= 0 && settled == null;
        if (stuck) {
            halted = "its servers do not come to act on it";
            return Optional.of(rollout.as(Rollout.State.HALTED));
        }
        long behind = turn.stream().filter(each -> behind(reports.get(each), rollout.to())).count();
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
                rollout.stage() < Stages.ALL ? rollout.at(rollout.stage() + 1) : rollout.done());
    }

    private static String text(String why) {
        return why.substring(0, Math.min(why.length(), Rollout.Version.LONGEST));
    }

    /**
     * Whether a server that has come to its turn does not act on the version, as far as it has
     * said.
     */
    static boolean behind(Report report, Rollout.Version version) {
        return report == null
                || report.acts() != version.number()
                || !report.hash().equals(version.hash());
    }

    private Optional<String> harm(Rollout rollout, Set<String> live, Set<String> turn) {
        long refuse =
                turn.stream()
                        .map(reports::get)
                        .filter(each -> each != null && each.refused() == rollout.to().number())
                        .count();
        // At first any refusal counts; at last, one that cannot is a straggler, which is shut out.
        boolean stops = rollout.stage() < Stages.ALL ? refuse > 0 : refuse > MOST_OUT * turn.size();
        if (stops) {
            String who =
                    turn.stream()
                            .filter(
                                    each ->
                                            reports.get(each) != null
                                                    && reports.get(each).refused()
                                                            == rollout.to().number())
                            .findFirst()
                            .orElseThrow();
            return Optional.of(who + " refuses it: " + reports.get(who).why());
        }
        Counts changed = Counts.NONE;
        Counts unchanged = Counts.NONE;
        for (String each : live) {
            Report report = reports.get(each);
            if (report == null || report.about() != rollout.to().number()) {
                continue;
            }
            changed = changed.plus(report.on());
            unchanged =
                    unchanged.plus(report.before().since(baseline.getOrDefault(each, Counts.NONE)));
        }
        return Watch.worse(changed, unchanged);
    }
}
