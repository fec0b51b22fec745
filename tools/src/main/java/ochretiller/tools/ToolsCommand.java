package ochretiller.tools;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line of the benches, one subcommand each; it saves tables and charts in docs/figures. */
@Command(
        name = "tools",
        mixinStandardHelpOptions = true,
        description = "Measure the server and its parts.")
final class ToolsCommand {
    static final Path FIGURES_DIRECTORY = Path.of("docs", "figures");

    @Command(
            description =
                    "Durable appends and recovery of the store, beside bare writes on the same"
                            + " disk.")
    int store(
            @Option(names = "--quick", description = "Shorter rounds, up to 100 thousand entries.")
                    boolean quick,
            @Option(
                            names = "--folder",
                            description = "Where to write; target/store-bench by default.")
                    Path folder)
            throws Exception {
        StoreBench bench =
                new StoreBench(folder == null ? Path.of("target", "store-bench") : folder, quick);
        bench.measureAppends();
        bench.measureRecovery();
        return 0;
    }

    @Command(
            description =
                    "Latency that remembered results add to keyed invocations, and to others.")
    int latency(@Option(names = "--quick", description = "Shorter rounds.") boolean quick)
            throws Exception {
        new LatencyBench(quick ? 4 : 20, quick ? 1 : 3).run();
        return 0;
    }

    @Command(
            description =
                    "New keys at ten times what ages out: memory, files and descriptors over time.")
    int flood(
            @Option(names = "--seconds", defaultValue = "600", description = "How long.")
                    int seconds)
            throws Exception {
        new FloodBench(seconds).run();
        return 0;
    }

    @Command(
            description =
                    "Both protocols round full load: rules, and what a burst of one side takes from"
                            + " the other.")
    int mix(
            @Option(names = "--quick", description = "Shorter rounds.") boolean quick,
            @Option(
                            names = "--fairness",
                            description = "Only what a burst takes from the other side.")
                    boolean fairness)
            throws Exception {
        new MixBench(quick ? 4 : 10).run(fairness);
        return 0;
    }

    @Command(description = "CPU that an invocation costs the server by each protocol.")
    int cpu(@Option(names = "--quick", description = "Shorter rounds.") boolean quick)
            throws Exception {
        new MixBench(quick ? 3 : 6).measureCpu(quick ? 2 : 4);
        return 0;
    }

    @Command(
            description =
                    "A rehearsal's script in real time round packaged servers, beside the"
                            + " emulator's play of it.")
    int live(
            @CommandLine.Parameters(description = "The script.") Path script,
            @Option(
                            names = "--boxes",
                            defaultValue = "3",
                            description = "Servers; all else is scaled by them.")
                    int boxes,
            @Option(names = "--seed", defaultValue = "1") long seed)
            throws Exception {
        new LiveBench(script, boxes, seed).run();
        return 0;
    }

    @Command(description = "The uwsgi decoder beside a bare copy of the same bytes (JMH).")
    int decode() throws Exception {
        DecoderBench.measure();
        return 0;
    }

    @Command(
            description =
                    "Copies that are made equal: entries a second, bytes beside the bytes that"
                            + " differ.")
    int copies(@Option(names = "--quick", description = "Up to 10 thousand entries.") boolean quick)
            throws Exception {
        new CopiesBench().run(quick);
        return 0;
    }

    @Command(description = "Pools beside turns and least connections, in virtual time.")
    int pools() throws Exception {
        new PoolsBench().run();
        return 0;
    }

    public static void main(String[] args) {
        if (List.of(args).isEmpty()) {
            args = new String[] {"--help"};
        }
        System.exit(new CommandLine(new ToolsCommand()).execute(args));
    }
}
