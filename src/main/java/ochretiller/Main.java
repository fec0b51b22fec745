package ochretiller;

import java.io.IOException;
import java.nio.file.Path;
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
import ochretiller.node.ProcessLifecycle;
import ochretiller.node.ServerConfiguration;
import ochretiller.node.ServerNode;
import ochretiller.operator.OperatorConfig;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.settings.MalformedException;
import ochretiller.sim.SimulatorHost;
import ochretiller.store.LocalDirectory;
import ochretiller.store.StorageDirectory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The program's entry: hands over to the part that the first word names. */
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
    private static final int FAILED = 1;
    private static final int WRONG = 2;
    private static final String CONFIG =
            "The configuration; by default the file that EDGE_CONFIG names.";
    private static final String OPERATOR = "The operators' file; without one all in it is off.";

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() {}

    public static void main(String[] args) {
        // Guards against a start that takes its core from other servers: the command line's classes
        // come too old for
        // class-data sharing and cost as much as all the rest.
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(told(() -> serve(null, null)));
        }
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler(
                (fault, command, parsed) ->
                        told(
                                () -> {
                                    throw fault;
                                }));
        System.exit(line.execute(args));
    }

    /** The exit code; what went wrong is told in one line. */
    private static int told(Callable<Integer> work) {
        try {
            return work.call();
        } catch (Exception e) {
            System.err.println("ochretiller: " + e.getMessage());
            return e instanceof MalformedException ? WRONG : FAILED;
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    /** The version that the package was built as. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"ochretiller " + (version == null ? "unpackaged" : version)};
        }
    }

    private static Path configuration(Path file) {
        String told = file != null ? file.toString() : System.getenv("EDGE_CONFIG");
        if (told == null) {
            throw new MalformedException("no configuration: EDGE_CONFIG is not set");
        }
        return Path.of(told);
    }

    @Command(
            name = "serve",
            description = "Serve as one server until SIGTERM and the drain that follows.",
            mixinStandardHelpOptions = true)
    static int serve(
            @Option(names = "--config", description = CONFIG) Path file,
            @Option(names = "--operator", description = OPERATOR) Path operatorFile)
            throws IOException {
        LoggingSetup.install();
        ProcessLifecycle lifecycle = ProcessLifecycle.install();
        try {
            ServerNode node = node(file, operatorFile);
            lifecycle.serverReady(node);
            node.listen();
            node.run();
            return 0;
        } catch (IOException | RuntimeException e) {
            lifecycle.startFailed();
            throw e;
        }
    }

    private static ServerNode node(Path file, Path operatorFile) throws IOException {
        Supplier<OperatorConfig> read =
                () ->
                        operatorFile == null
                                ? OperatorConfig.NONE
                                : OperatorConfigReader.read(operatorFile);
        OperatorConfig operator = read.get();
        if (operator.jsonLog()) {
            LoggingSetup.useJsonFormat();
        }
        ServerNode node =
                new ServerNode(
                        configuration(file),
                        operator,
                        read,
                        operator.remember()
                                .map(remember -> disk(operator, remember.folder()))
                                .orElse(null));
        node.prepare();
        return node;
    }

    private static StorageDirectory disk(OperatorConfig operator, Path folder) {
        StorageDirectory disk = new LocalDirectory(folder);
        return operator.drill().diskFault() == null
                ? disk
                : new FaultyDirectory(disk, operator.drill().diskFault());
    }

    @Command(
            name = "check",
            description = "Check a configuration as serve does, without listening.",
            mixinStandardHelpOptions = true)
    static int check(
            @Option(names = "--config", description = CONFIG) Path file,
            @Option(names = "--operator", description = OPERATOR) Path operatorFile) {
        OperatorConfig operator =
                operatorFile == null ? null : OperatorConfigReader.read(operatorFile);
        boolean alone = operator != null && file == null && System.getenv("EDGE_CONFIG") == null;
        ServerConfiguration configuration =
                alone ? null : ServerConfiguration.read(configuration(file));
        if (operator != null) {
            if (!alone) {
                ServerNode.uwsgiRoutes(operator, configuration);
                ServerNode.workerPoolConfigs(operator, configuration);
                operator.fleet()
                        .ifPresent(fleet -> ServerNode.checkReplication(fleet, configuration));
            }
            operator.fleet().ifPresent(fleet -> FleetKeys.read(fleet.keyFile()));
            System.out.println("the operators' file " + operatorFile + " is good");
        }
        if (!alone) {
            System.out.println("the configuration of " + configuration.name() + " is good");
        }
        return 0;
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
        System.out.println(new Version().getVersion()[0]);
        return 0;
    }
}
