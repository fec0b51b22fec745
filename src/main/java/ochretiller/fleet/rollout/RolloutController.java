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
 * Decides how a rollout proceeds, as seen by one acceptor. Each stage is observed for a while after
 * its servers run the version, and a harmful rollout is rolled back or halted. Each step is
 * proposed as the next epoch. Any acceptor continues from the committed state, so a rollout
 * survives the failure of the acceptor that started it. Reports are local to this acceptor and not
 * agreed on. Not thread-safe; time is passed in.
 */
public final class RolloutController {
    /** Maximum share of a stage's servers that may lag behind or reject the version. */
    private static final double MAX_STRAGGLER_SHARE = 0.2;

    /** Multiple of the activation timeout after which an incomplete stage halts the rollout. */
    private static final int STUCK_FACTOR = 4;

    private final Duration observationTime;
    private final Duration activationTimeout;
    private final boolean rollsBack;
    private final Map<String, VersionReport> reports = new HashMap<>();

    /** Each server's counters of the previous version in its first report of this rollout. */
    private final Map<String, VersionCounters> baselineStarts = new HashMap<>();

    private RolloutState observedRollout = RolloutState.NONE;
    private Duration stageStartedAt = Duration.ZERO;
    private Optional<Duration> stageCompleteSince = Optional.empty();
    private String haltReason = "";

    /**
     * Creates a controller without reports.
     *
     * @param observationTime how long each stage is observed after its servers run the version
     * @param activationTimeout how long servers may take to activate the version
     * @param rollsBack whether a harmful version is rolled back; otherwise its rollout is halted
     */
    public RolloutController(
            Duration observationTime, Duration activationTimeout, boolean rollsBack) {
        this.observationTime = observationTime;
        this.activationTimeout = activationTimeout;
        this.rollsBack = rollsBack;
    }

    /** Records a server's latest report; {@link #nextState} drops reports of dead servers. */
    public void recordReport(String server, VersionReport report) {
        reports.put(server, report);
        recordBaselineStart(server, report);
    }

    private void recordBaselineStart(String server, VersionReport report) {
        if (!observedRollout.isComplete()
                && report.rolloutVersion() == observedRollout.target().number()) {
            baselineStarts.putIfAbsent(server, report.baseline());
        }
    }

    /** Returns why a rollout was last halted or rolled back, or an empty string. */
    public String haltReason() {
        return haltReason;
    }

    /**
     * Returns the next state to propose, or empty if the rollout must not change now.
     *
     * @param live names of the live servers
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
            // The servers that completed the stage may be gone, so the observation starts again.
            stageCompleteSince = Optional.empty();
            return Optional.empty();
        }
        Duration completeSince = stageCompleteSince.orElse(now);
        stageCompleteSince = Optional.of(completeSince);
        return now.minus(completeSince).compareTo(observationTime) < 0
                ? Optional.empty()
                : Optional.of(nextStage(rollout));
    }

    private void observe(RolloutState rollout, Duration now) {
        if (rollout.equals(observedRollout)) {
            return;
        }
        if (rollout.target().number() != observedRollout.target().number()) {
            baselineStarts.clear();
        }
        observedRollout = rollout;
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

    /** Returns whether a stage takes so long that an unreported fault must be assumed. */
    private boolean isStuck(Duration now) {
        Duration limit = activationTimeout.multipliedBy(STUCK_FACTOR);
        return stageCompleteSince.isEmpty() && now.minus(stageStartedAt).compareTo(limit) >= 0;
    }

    private boolean isStageComplete(RolloutState rollout, Set<String> included, Duration now) {
        long laggingServers =
                included.stream()
                        .filter(
                                server ->
                                        isLagging(
                                                Optional.ofNullable(reports.get(server)),
                                                rollout.target()))
                        .count();
        boolean isTimedOut = now.minus(stageStartedAt).compareTo(activationTimeout) >= 0;
        boolean hasFewStragglers =
                isTimedOut && laggingServers <= MAX_STRAGGLER_SHARE * included.size();
        return !included.isEmpty() && (laggingServers == 0 || hasFewStragglers);
    }

    private static RolloutState nextStage(RolloutState rollout) {
        return rollout.stage() < RolloutStages.ALL_SERVERS
                ? rollout.withStage(rollout.stage() + 1)
                : rollout.completed();
    }

    /** Returns whether a server has not reported that it runs the version. */
    static boolean isLagging(Optional<VersionReport> report, PublishedVersion version) {
        return report.isEmpty() || !report.get().isRunning(version);
    }

    private Optional<String> findHarm(
            RolloutState rollout, Set<String> live, Set<String> included) {
        return findRejection(rollout, included).or(() -> findRegression(rollout, live));
    }

    /**
     * Returns a rejection that stops the rollout. In early stages any rejection does; in the last
     * one, a few servers that cannot run the version are tolerated and remain fenced.
     */
    private Optional<String> findRejection(RolloutState rollout, Set<String> included) {
        Map<String, VersionReport> rejections = new TreeMap<>();
        for (String server : included) {
            VersionReport report = reports.get(server);
            if (report != null && report.hasRejected(rollout.target())) {
                rejections.put(server, report);
            }
        }
        boolean isLastStage = rollout.stage() >= RolloutStages.ALL_SERVERS;
        double tolerated = isLastStage ? MAX_STRAGGLER_SHARE * included.size() : 0;
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
            baseline = baseline.plus(report.baseline().increaseSince(start));
        }
        return CanaryComparison.findRegression(candidate, baseline).map(Regression::describe);
    }
}
