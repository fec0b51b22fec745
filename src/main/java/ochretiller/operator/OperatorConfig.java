package ochretiller.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.pools.PoolSettings;

/**
 * The operators' file: optional features in addition to the platform's configuration.
 *
 * @param jsonLog whether log lines are in JSON
 * @param metrics the file to which metrics are written; empty for none
 * @param durability how results of keyed operations survive a restart; empty if they do not
 * @param uwsgi the uwsgi frontend; empty for none
 * @param pools workers that run operations instead of the processor
 * @param fleet the fleet that the server joins; empty for none
 * @param audit the audit log of this server; empty for none
 * @param simulatedFaults simulated faults of the machine, only allowed in drills
 */
public record OperatorConfig(
        boolean jsonLog,
        Optional<MetricsFile> metrics,
        Optional<Durability> durability,
        Optional<Uwsgi> uwsgi,
        List<Pool> pools,
        Optional<FleetSettings> fleet,
        Optional<Audit> audit,
        SimulatedFaults simulatedFaults) {
    /** All features are off. */
    public static final OperatorConfig NONE =
            new OperatorConfig(
                    false,
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    List.of(),
                    Optional.empty(),
                    Optional.empty(),
                    SimulatedFaults.NONE);

    /** Returns a copy with other pools. */
    public OperatorConfig withPools(List<Pool> newPools) {
        return new OperatorConfig(
                jsonLog, metrics, durability, uwsgi, newPools, fleet, audit, simulatedFaults);
    }

    /**
     * The audit log.
     *
     * @param folder the folder of its files; only one process at a time may use it
     * @param maxPeriod maximum period whose invocations are counted in one record
     * @param maxBytes maximum size of all files; the oldest are deleted
     * @param recordsRuns whether each run of a token is recorded, so that its version can be looked
     *     up
     */
    public record Audit(Path folder, Duration maxPeriod, long maxBytes, boolean recordsRuns) {}

    /**
     * Faults of the machine and its disk that are simulated in drills.
     *
     * @param clockError error of the Unix clock
     * @param diskFaultFile a file that describes the fault of the disk while it exists; or null
     */
    public record SimulatedFaults(Duration clockError, Path diskFaultFile) {
        /** No faults. */
        public static final SimulatedFaults NONE = new SimulatedFaults(Duration.ZERO, null);
    }

    /**
     * The uwsgi frontend.
     *
     * @param clientVariable the request variable that identifies the client
     * @param timestampVariable the request variable with the time at which the request reached the
     *     machine, in Unix milliseconds
     */
    public record Uwsgi(
            InetSocketAddress listen,
            List<Route> routes,
            String clientVariable,
            String timestampVariable) {}

    /**
     * A pool of equivalent uwsgi workers.
     *
     * @param lateAnswerTime how long after its deadline the answer of a keyed run is still awaited
     */
    public record Pool(
            String name,
            List<InetSocketAddress> addresses,
            List<Target> targets,
            PoolSettings settings,
            Duration lateAnswerTime) {}

    /** The request that is sent to a worker to run an operation. */
    public record Target(String operation, String method, String path) {}

    /**
     * Maps requests with a method and path to an operation.
     *
     * @param memoryKb memory to reserve for an attempt, in KB
     */
    public record Route(String method, String path, String operation, double memoryKb) {}

    /**
     * The file of metrics.
     *
     * @param interval how often the file is written
     */
    public record MetricsFile(Path file, Duration interval) {}

    /**
     * The store of results that survive a restart.
     *
     * @param folder the folder of its files; only one process at a time may use it
     * @param maxEntries maximum keys in the store
     * @param maxBytes maximum size on disk
     * @param segmentBytes size at which a new segment file is started
     * @param maxSegmentAge age at which a new segment file is started
     * @param compactionBytesPerSecond maximum bytes per second that compaction copies
     * @param markerWait how long a run waits for its in-flight marker before it is throttled
     * @param answerWait how long an answer waits for its result to be durable
     * @param stallThreshold age of a pending append at which the disk counts as stalled
     * @param initialProbeInterval first delay before a failed disk is probed again
     * @param maxProbeInterval maximum delay between such probes
     */
    public record Durability(
            Path folder,
            int maxEntries,
            long maxBytes,
            int segmentBytes,
            Duration maxSegmentAge,
            long compactionBytesPerSecond,
            Duration markerWait,
            Duration answerWait,
            Duration stallThreshold,
            Duration initialProbeInterval,
            Duration maxProbeInterval) {}
}
