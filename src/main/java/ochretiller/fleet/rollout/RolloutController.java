package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;

/**
 * Decides how a rollout proceeds, as one acceptor sees it: each stage is observed for a while once
 * its servers run the version, and a rollout that does harm is rolled back or halted. Every
 * acceptor carries a rollout on from what is committed, so it outlives whoever started it; what
 * follows is proposed as the next epoch. Reports are this acceptor's own and are not agreed on. Not
 * thread-safe; time is handed in.
 */
public final class RolloutController {
    /** Share of a stage's servers that may lag or reject the version, and are left so. */
    private static final double MAX_STRAGGLER_SHARE = 0.2;

    /**
     * Multiple of the activation timeout after which a stage that was never complete halts the
     * rollout.
     */
    private static final int STUCK_FACTOR = 4;

    private final Duration observationTime;
    private final Duration activationTimeout;
    private final boolean rollsBack;
    private final Map<String, VersionReport> reports = new HashMap<>();

    /** The first counters of the previous version that each server has reported in this rollout. */
    private final Map<String, VersionCounters> baselineStarts = new HashMap<>();

    private RolloutState observed = RolloutState.NONE;
    private Duration stageStartedAt = Duration.ZERO;
    private Optional<Duration> stageCompleteSince = Optional.empty();
    private String haltReason = "";

    /**
     * @param observationTime how long each stage is observed once its servers run the version
     * @param activationTimeout how long servers may take to run it
     * @param rollsBack whether a harmful version is rolled back, and not only halted
     */
    public RolloutController(
            Duration observationTime, Duration activationTimeout, boolean rollsBack) {
        this.observationTime = observationTime;
        this.activationTimeout = activationTimeout;
        this.rollsBack = rollsBack;
    }

    /**
     * Records a server's last report; servers that are gone are forgotten by {@link #nextState}.
     */
    public void recordReport(String server, VersionReport report) {
        reports.put(server, report);
        recordBaselineStart(server, report);
    }

    private void recordBaselineStart(String server, VersionReport report) {
        if (!observed.isComplete() && report.rolloutVersion() == observed.target().number()) {
            baselineStarts.putIfAbsent(server, report.baseline());
        }
    }

    /** Returns why the last rollout was halted or rolled back; empty where none was. */
    public String haltReason() {
        return haltReason;
    }

    /**
     * Returns what to propose next, if anything.
     *
     * @param live names of the reachable servers
     */
    public Optional<RolloutState> nextState(
            ReplicaPlacement placement, Set<String> live, Duration now) {
        RolloutState rollout = placement.rollout();
        observe(rollout, now);
        reports.keySet().retainAll(live);
        baselineStarts.keySet().retainAll(live);
        if (rollout.phase() != RolloutPhase.RUNNING) {
            return Optional.empty();
        }
        Set<String> included = includedServers(placement, live);
        Optional<String> harm = findHarm(rollout, live, included);
        if (harm.isPresent()) {
            return Optional.of(stop(rollout, harm.get()));
        }
        if (isStuck(now)) {
            haltReason = "its servers do not come to act on it";
            return Optional.of(rollout.withPhase(RolloutPhase.HALTED));
        }
        if (!isStageComplete(rollout, included, now)) {
            // Servers that ran it may be gone: what was seen of them is no reason to go on.
            stageCompleteSince = Optional.empty();
            return Optional.empty();
        }
        Duration completeSince = stageCompleteSince.orElse(now);
        stageCompleteSince = Optional.of(completeSince);
        return now.minus(completeSince).compareTo(observationTime) < 0
                ? Optional.empty()
                : Optional.of(next(rollout));
    }

    private void observe(RolloutState rollout, Duration now) {
        if (rollout.equals(observed)) {
            return;
        }
        if (rollout.target().number() != observed.target().number()) {
            baselineStarts.clear();
        }
        observed = rollout;
        stageStartedAt = now;
        stageCompleteSince = Optional.empty();
        reports.forEach(this::recordBaselineStart);
    }

    private static Set<String> includedServers(ReplicaPlacement placement, Set<String> live) {
        Set<String> included = new TreeSet<>();
        for (String server : live) {
            if (RolloutStages.includes(placement, server)) {
                included.add(server);
            }
        }
        return included;
    }

    private RolloutState stop(RolloutState rollout, String harm) {
        haltReason = harm;
        if (!rollsBack) {
            return rollout.withPhase(RolloutPhase.HALTED);
        }
        String reason = "taken back: " + harm;
        int length = Math.min(reason.length(), PublishedVersion.MAX_TEXT_LENGTH);
        return rollout.rolledBack("the fleet", reason.substring(0, length));
    }

    /**
     * Servers that take far longer than any known reason explains: something is wrong that nobody
     * has reported.
     */
    private boolean isStuck(Duration now) {
        Duration limit = activationTimeout.multipliedBy(STUCK_FACTOR);
        return stageCompleteSince.isEmpty() && now.minus(stageStartedAt).compareTo(limit) >= 0;
    }

    private boolean isStageComplete(RolloutState rollout, Set<String> included, Duration now) {
        long behind =
                included.stream()
                        .filter(
                                server ->
                                        isBehind(
                                                Optional.ofNullable(reports.get(server)),
                                                rollout.target()))
                        .count();
        boolean timedOut = now.minus(stageStartedAt).compareTo(activationTimeout) >= 0;
        boolean fewBehind = timedOut && behind <= MAX_STRAGGLER_SHARE * included.size();
        return !included.isEmpty() && (behind == 0 || fewBehind);
    }

    private static RolloutState next(RolloutState rollout) {
        return rollout.stage() < RolloutStages.ALL_SERVERS
                ? rollout.withStage(rollout.stage() + 1)
                : rollout.completed();
    }

    /** Returns whether a server does not run the version, as far as it has reported. */
    static boolean isBehind(Optional<VersionReport> report, PublishedVersion version) {
        return report.isEmpty() || !report.get().isRunning(version);
    }

    private Optional<String> findHarm(
            RolloutState rollout, Set<String> live, Set<String> included) {
        return findRejection(rollout, included).or(() -> findRegression(rollout, live));
    }

    /**
     * In early stages any rejection counts; in the last one a few servers that cannot run the
     * version are left fenced.
     */
    private Optional<String> findRejection(RolloutState rollout, Set<String> included) {
        Map<String, VersionReport> rejections = new TreeMap<>();
        for (String server : included) {
            VersionReport report = reports.get(server);
            if (report != null && report.rejects(rollout.target())) {
                rejections.put(server, report);
            }
        }
        boolean lastStage = rollout.stage() >= RolloutStages.ALL_SERVERS;
        double tolerated = lastStage ? MAX_STRAGGLER_SHARE * included.size() : 0;
        if (rejections.size() <= tolerated) {
            return Optional.empty();
        }
        return rejections.entrySet().stream()
                .findFirst()
                .map(
                        first ->
                                first.getKey()
                                        + " refuses it: "
                                        + first.getValue().rejectionReason());
    }

    private Optional<String> findRegression(RolloutState rollout, Set<String> live) {
        VersionCounters candidate = VersionCounters.ZERO;
        VersionCounters baseline = VersionCounters.ZERO;
        for (String server : live) {
            VersionReport report = reports.get(server);
            if (report == null || report.rolloutVersion() != rollout.target().number()) {
                continue;
            }
            VersionCounters start = baselineStarts.getOrDefault(server, VersionCounters.ZERO);
            candidate = candidate.plus(report.candidate());
            baseline = baseline.plus(report.baseline().since(start));
        }
        return CanaryComparison.findRegression(candidate, baseline).map(Regression::describe);
    }
}
