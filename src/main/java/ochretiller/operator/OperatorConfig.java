package ochretiller.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.pools.PoolSettings;

/**
 * What operators switch on beside the platform's configuration.
 *
 * @param jsonLog whether log lines are JSON
 * @param metrics where figures are written, if anywhere
 * @param remember how keyed results outlive a restart, if they do
 * @param uwsgi where front ends of uwsgi connect, if any do
 * @param pools workers that carry out operations in the processor's place
 * @param fleet the fleet that the server takes part in, if any
 * @param audit how it is kept what this server acts on, if it is
 * @param drill faults of the machine, in drills only
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
    /** Nothing is switched on. */
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

    /** The same with other pools. */
    public OperatorConfig with(List<Workers> others) {
        return new OperatorConfig(jsonLog, metrics, remember, uwsgi, others, fleet, audit, drill);
    }

    /**
     * An audit.
     *
     * @param folder where it is kept; one process has it at a time
     * @param span longest span of what is counted together
     * @param mostBytes of all its files; the oldest go
     * @param runs whether each run of a token is kept, so that its version can be told
     */
    public record Audit(Path folder, Duration span, long mostBytes, boolean runs) {}

    /**
     * What drills put on a machine and its disk.
     *
     * @param clock how far the Unix clock is set wrong
     * @param diskFault a file that says, while it is there, what is wrong with the disk; or null
     */
    public record Drill(Duration clock, Path diskFault) {
        public static final Drill NONE = new Drill(Duration.ZERO, null);
    }

    /**
     * A front that speaks uwsgi.
     *
     * @param callerVar the variable that names who asks
     * @param timeVar the variable with the Unix milliseconds at which a request came to the machine
     */
    public record Uwsgi(
            InetSocketAddress listen, List<Route> routes, String callerVar, String timeVar) {}

    /**
     * A pool of uwsgi workers that do the same.
     *
     * @param late how long a late answer is listened for
     */
    public record Workers(
            String name,
            List<InetSocketAddress> addresses,
            List<Run> runs,
            PoolSettings settings,
            Duration late) {}

    /** What a worker is asked for when an operation runs. */
    public record Run(String operation, String method, String path) {}

    /**
     * Which operation a path asks for.
     *
     * @param kb memory that is booked for one while it is held, in KB
     */
    public record Route(String method, String path, String operation, double kb) {}

    /**
     * Figures in a file.
     *
     * @param every how often it is written
     */
    public record Figures(Path file, Duration every) {}

    /**
     * Results that outlive a restart.
     *
     * @param folder where they are kept; one process has it at a time
     * @param mostEntries keys that are kept together
     * @param mostBytes bytes on disk
     * @param segmentBytes size of one of its files
     * @param rollAfter age of one of its files
     * @param copyRate bytes a second that compaction copies at most
     * @param markWait longest wait of a run for its mark
     * @param answerWait longest wait of an answer for its result to be durable
     * @param stall age of an append from which the disk counts as stalled
     * @param probe first pause before a sick disk is tried again
     * @param mostProbe longest such pause
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
