package ochretiller.fleet.service;

import java.nio.file.Path;
import java.time.Duration;

/**
 * How a fleet brings versions out.
 *
 * @param folder where versions, and the one that is acted on, are kept over restarts
 * @param lease how long a server acts on without a word of a majority of voters; zero for as long
 *     as it likes
 * @param fencingGrace how long a server may take to act on what is in force for it before it is
 *     shut out
 * @param observationTime how long each stage is watched
 * @param stageTimeout how long servers of a stage may take
 * @param rollsBackAutomatically whether a version that does harm is taken back by itself, and not
 *     only halted
 */
public record RolloutSettings(
        Path folder,
        Duration lease,
        Duration fencingGrace,
        Duration observationTime,
        Duration stageTimeout,
        boolean rollsBackAutomatically) {}
