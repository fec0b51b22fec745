package ochretiller;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import ochretiller.commands.AuditCommand;
import ochretiller.commands.ContractCommand;
import ochretiller.commands.CopiesCommand;
import ochretiller.commands.FleetCommand;
import ochretiller.commands.StoreCommand;
import ochretiller.commands.TryCommand;
import ochretiller.fakes.FaultyDirectory;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.node.LoggingSetup;
import ochretiller.node.OperatorConfigResolver;
import ochretiller.node.ProcessLifecycle;
import ochretiller.node.ServerConfiguration;
import ochretiller.node.ServerNode;
import ochretiller.node.ServerNodeBuilder;
import ochretiller.operator.OperatorConfig;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.settings.MalformedException;
import ochretiller.sim.SimulatorHost;
import ochretiller.store.LocalDirectory;
import ochretiller.store.StorageDirectory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The program's entry point: parses the command line and runs the selected sub-command. */
@Command(
        name = "ochretiller",
        description = "Admission and scheduling for servers behind other people's balancers.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        subcommands = {
            StoreCommand.class,
            TryCommand.class,
            ContractCommand.class,
            FleetCommand.class,
            CopiesCommand.class,
            AuditCommand.class
        })
public final class Main implements Runnable {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_MALFORMED = 2;
    private static final String SERVE = "serve";
    private static final String CONFIG_VARIABLE = "EDGE_CONFIG";
    private static final String CONFIG_HELP =
            "The configuration; by default the file that EDGE_CONFIG names.";
    private static final String OPERATOR_HELP =
            "The operators' file; without one all in it is off.";

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() {}

    /** Runs the program and exits the JVM with its exit code. */
    public static void main(String[] args) {
        // A plain "serve" bypasses picocli: its classes are too old for class data sharing and
        // would double the CPU time of a start.
        if (args.length == 1 && args[0].equals(SERVE)) {
            System.exit(exitCode(() -> serve(null, null)));
        }
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler(
                (exception, command, parseResult) ->
                        exitCode(
                                () -> {
                                    throw exception;
                                }));
        System.exit(line.execute(args));
    }

    /** Runs a command and returns the exit code; prints one line to standard error if it fails. */
    private static int exitCode(Callable<Integer> command) {
        try {
            return command.call();
        } catch (Exception e) {
            System.err.println("ochretiller: " + e.getMessage());
            return e instanceof MalformedException ? EXIT_MALFORMED : EXIT_FAILED;
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    /** Provides the version of the built package for {@code --version}. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {versionLine()};
        }
    }

    private static String versionLine() {
        String version = Main.class.getPackage().getImplementationVersion();
        return "ochretiller " + (version == null ? "unpackaged" : version);
    }

    /** Returns the path in the option, or else the one in the environment variable. */
    private static Path configurationFile(Path option) {
        if (option != null) {
            return option;
        }
        String path = System.getenv(CONFIG_VARIABLE);
        if (path == null) {
            throw new MalformedException("no configuration: EDGE_CONFIG is not set");
        }
        return Path.of(path);
    }

    @Command(
            name = SERVE,
            description = "Serve as one server until SIGTERM and the drain that follows.",
            mixinStandardHelpOptions = true)
    static int serve(
            @Option(names = "--config", description = CONFIG_HELP) Path file,
            @Option(names = "--operator", description = OPERATOR_HELP) Path operatorFile)
            throws IOException {
        LoggingSetup.install();
        ProcessLifecycle lifecycle = ProcessLifecycle.install();
        try {
            ServerNode node = prepareNode(file, operatorFile);
            lifecycle.onServerReady(node);
            node.listen();
            node.run();
            return EXIT_OK;
        } catch (IOException | RuntimeException e) {
            lifecycle.onStartFailed();
            throw e;
        } catch (Error e) {
            lifecycle.onFatalError(e);
            throw e;
        }
    }

    private static ServerNode prepareNode(Path file, Path operatorFile) throws IOException {
        Supplier<OperatorConfig> operatorReload =
                () ->
                        operatorFile == null
                                ? OperatorConfig.NONE
                                : OperatorConfigReader.read(operatorFile);
        OperatorConfig operator = operatorReload.get();
        if (operator.jsonLog()) {
            LoggingSetup.useJsonFormat();
        }
        ServerNodeBuilder builder =
                ServerNode.builder(configurationFile(file))
                        .operator(operator)
                        .operatorConfigSupplier(operatorReload);
        if (operator.durability().isPresent()) {
            builder.storage(storage(operator));
        }
        ServerNode node = builder.build();
        node.prepare();
        return node;
    }

    private static StorageDirectory storage(OperatorConfig operator) {
        StorageDirectory directory =
                new LocalDirectory(operator.durability().orElseThrow().folder());
        Path faultFile = operator.simulatedFaults().diskFaultFile();
        return faultFile == null ? directory : new FaultyDirectory(directory, faultFile);
    }

    @Command(
            name = "check",
            description = "Check a configuration as serve does, without listening.",
            mixinStandardHelpOptions = true)
    static int check(
            @Option(names = "--config", description = CONFIG_HELP) Path file,
            @Option(names = "--operator", description = OPERATOR_HELP) Path operatorFile) {
        Optional<OperatorConfig> operator =
                Optional.ofNullable(operatorFile).map(OperatorConfigReader::read);
        boolean hasConfiguration = file != null || System.getenv(CONFIG_VARIABLE) != null;
        Optional<ServerConfiguration> configuration =
                hasConfiguration || operator.isEmpty()
                        ? Optional.of(ServerConfiguration.read(configurationFile(file)))
                        : Optional.empty();
        if (operator.isPresent()) {
            configuration.ifPresent(server -> OperatorConfigResolver.check(operator.get(), server));
            operator.get().fleet().ifPresent(fleet -> FleetKeys.read(fleet.keyFile()));
            System.out.println("the operators' file " + operatorFile + " is good");
        }
        configuration.ifPresent(
                server -> System.out.println("the configuration of " + server.name() + " is good"));
        return EXIT_OK;
    }

    @Command(
            name = "simhost",
            description = "Serve the simulator's wire on standard input and output.",
            mixinStandardHelpOptions = true)
    static int simhost() throws IOException {
        return SimulatorHost.serve(System.in, System.out, System.err);
    }

    @Command(name = "version", description = "Print the version.")
    static int version() {
        System.out.println(versionLine());
        return EXIT_OK;
    }
}
