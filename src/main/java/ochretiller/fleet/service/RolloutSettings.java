package ochretiller.fleet.service;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Settings for the rollout of versions.
 *
 * @param directory directory of the files of versions, which outlive a restart
 * @param leaseDuration how long a server may serve without a renewal by a majority of the
 *     acceptors; zero if no lease is required
 * @param fencingGrace how long a server may take to activate its committed version before it is
 *     fenced
 * @param observationTime how long each stage is observed
 * @param activationTimeout how long servers may take to activate the version of their stage
 * @param rollsBackAutomatically whether a harmful version is rolled back; otherwise its rollout is
 *     halted
 */
public record RolloutSettings(
        Path directory,
        Duration leaseDuration,
        Duration fencingGrace,
        Duration observationTime,
        Duration activationTimeout,
        boolean rollsBackAutomatically) {}
