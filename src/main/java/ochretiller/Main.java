package ochretiller;

import java.io.IOException;
import java.nio.file.Path;
import ochretiller.node.Configuration;
import ochretiller.node.KeptLogs;
import ochretiller.node.Node;
import ochretiller.settings.MalformedException;
import ochretiller.sim.SimHost;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The program's entry: hands over to the part that the first word names. */
@Command(name = "ochretiller", description = "Admission and scheduling for servers behind other people's balancers.",
    mixinStandardHelpOptions = true, versionProvider = Main.Version.class)
public final class Main implements Runnable {
    private static final int FAILED = 1;
    private static final int WRONG = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Main() {
    }

    public static void main(String[] args) {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((fault, command, parsed) -> {
            command.getErr().println("ochretiller: " + fault.getMessage());
            return fault instanceof MalformedException ? WRONG : FAILED;
        });
        int code = line.execute(args);
        if (code >= 0) System.exit(code);
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

    private static Configuration configuration(Path file) {
        String told = file != null ? file.toString() : System.getenv("EDGE_CONFIG");
        if (told == null) throw new MalformedException("no configuration: EDGE_CONFIG is not set");
        return Configuration.read(Path.of(told));
    }

    @Command(name = "serve", description = "Serve as one server until SIGTERM and the drain that follows.",
        mixinStandardHelpOptions = true)
    int serve(@Option(names = "--config", description = "The configuration; by default the file that EDGE_CONFIG names.")
              Path file) throws IOException {
        KeptLogs.install();
        Node node = new Node(configuration(file));
        node.listen();
        // The exit code of a drain is 0; without the halt it would be the signal's.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                node.drain();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Runtime.getRuntime().halt(0);
        }));
        node.run();
        return 0;
    }

    @Command(name = "check", description = "Check a configuration as serve does, without listening.",
        mixinStandardHelpOptions = true)
    int check(@Option(names = "--config", description = "The configuration; by default the file that EDGE_CONFIG names.")
              Path file) {
        System.out.println("the configuration of " + configuration(file).name() + " is good");
        return 0;
    }

    @Command(name = "simhost", description = "Serve the simulator's wire on standard input and output.",
        mixinStandardHelpOptions = true)
    int simhost() throws IOException {
        return SimHost.serve(System.in, System.out, System.err);
    }

    @Command(name = "version", description = "Print the version.")
    int version() {
        System.out.println(new Version().getVersion()[0]);
        return 0;
    }
}
