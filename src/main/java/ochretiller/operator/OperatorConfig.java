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
 * @param remember how results of keyed operations survive a restart; empty if they do not
 * @param uwsgi the uwsgi frontend; empty for none
 * @param pools workers that run operations instead of the processor
 * @param fleet the fleet that the server joins; empty for none
 * @param audit the audit log of this server; empty for none
 * @param drill simulated faults of the machine, only allowed in drills
 */
public record OperatorConfig(
        boolean jsonLog,
        Optional<Figures> metrics,
        Optional<Remember> remember,
        Optional<Uwsgi> uwsgi,
        List<Workers> pools,
        Optional<FleetSettings> fleet,
        Optional<Audit> audit,
        Drill drill) {
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
                    Drill.NONE);

    /** Returns a copy with other pools. */
    public OperatorConfig with(List<Workers> newPools) {
        return new OperatorConfig(jsonLog, metrics, remember, uwsgi, newPools, fleet, audit, drill);
    }

    /**
     * The audit log.
     *
     * @param folder the folder of its files; only one process at a time may use it
     * @param span maximum period whose invocations are counted in one record
     * @param mostBytes maximum size of all files; the oldest are deleted
     * @param runs whether each run of a token is recorded, so that its version can be looked up
     */
    public record Audit(Path folder, Duration span, long mostBytes, boolean runs) {}

    /**
     * Faults of the machine and its disk that are simulated in drills.
     *
     * @param clock error of the Unix clock
     * @param diskFault a file that describes the fault of the disk while it exists; or null
     */
    public record Drill(Duration clock, Path diskFault) {
        /** No faults. */
        public static final Drill NONE = new Drill(Duration.ZERO, null);
    }

    /**
     * The uwsgi frontend.
     *
     * @param callerVar the request variable that identifies the client
     * @param timeVar the request variable with the time at which the request reached the machine,
     *     in Unix milliseconds
     */
    public record Uwsgi(
            InetSocketAddress listen, List<Route> routes, String callerVar, String timeVar) {}

    /**
     * A pool of equivalent uwsgi workers.
     *
     * @param late how long after its deadline the answer of a keyed run is still awaited
     */
    public record Workers(
            String name,
            List<InetSocketAddress> addresses,
            List<Run> runs,
            PoolSettings settings,
            Duration late) {}

    /** The request that is sent to a worker to run an operation. */
    public record Run(String operation, String method, String path) {}

    /**
     * Maps requests with a method and path to an operation.
     *
     * @param kb memory to reserve for an attempt, in KB
     */
    public record Route(String method, String path, String operation, double kb) {}

    /**
     * The file of metrics.
     *
     * @param every how often the file is written
     */
    public record Figures(Path file, Duration every) {}

    /**
     * The store of results that survive a restart.
     *
     * @param folder the folder of its files; only one process at a time may use it
     * @param mostEntries maximum keys in the store
     * @param mostBytes maximum size on disk
     * @param segmentBytes size at which a new segment file is started
     * @param rollAfter age at which a new segment file is started
     * @param copyRate maximum bytes per second that compaction copies
     * @param markWait how long a run waits for its in-flight marker before it is throttled
     * @param answerWait how long an answer waits for its result to be durable
     * @param stall age of a pending append at which the disk counts as stalled
     * @param probe first delay before a failed disk is probed again
     * @param mostProbe maximum delay between such probes
     */
    public record Remember(
            Path folder,
            int mostEntries,
            long mostBytes,
            int segmentBytes,
            Duration rollAfter,
            long copyRate,
            Duration markWait,
            Duration answerWait,
            Duration stall,
            Duration probe,
            Duration mostProbe) {}
}
