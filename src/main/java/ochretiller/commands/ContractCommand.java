package ochretiller.commands;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import ochretiller.contracts.Contract;
import ochretiller.contracts.Contracts;
import ochretiller.operator.ContractFiles;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks, compares and prints folders of contracts. */
@Command(
        name = "contract",
        mixinStandardHelpOptions = true,
        description = "Check contracts, show them, tell what a change would do.")
public final class ContractCommand implements Runnable {
    private static final String FOLDER_HELP =
            "A folder with broker.json5 and a file for each team.";

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Whether they are good, each and as a whole.")
    int check(@Parameters(description = FOLDER_HELP) Path folder) {
        int count = ContractFiles.read(folder).byTeam().size();
        out().println(count + (count == 1 ? " contract is good" : " contracts are good"));
        return 0;
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "What going over from one folder to another would do to each team.")
    int diff(
            @Parameters(description = FOLDER_HELP) Path from,
            @Parameters(description = FOLDER_HELP) Path to) {
        List<String> changes = ContractFiles.read(from).describeChanges(ContractFiles.read(to));
        changes.forEach(out()::println);
        if (changes.isEmpty()) {
            out().println("nothing changes");
        }
        return 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "What each team is promised, calls and publishes.")
    int show(@Parameters(description = FOLDER_HELP) Path folder) {
        Contracts contracts = ContractFiles.read(folder);
        out().printf(
                        Locale.ROOT,
                        "capacity %.3f core seconds a second, %.3f promised%n",
                        contracts.capacity(),
                        contracts.guaranteedRateSum());
        for (Contract contract : contracts.byTeam().values()) {
            out().printf(
                            Locale.ROOT,
                            "%s, version %d: %.3f a second, burst %.3f, weight %.3f, retries"
                                    + " %.3f%n",
                            contract.team(),
                            contract.version(),
                            contract.guarantee().rate(),
                            contract.guarantee().burst(),
                            contract.guarantee().weight(),
                            contract.guarantee().retryRatio());
            for (Contract.Service service : contract.services()) {
                out().printf(
                                "  publishes %s on %s within %d ms%n",
                                service.name(), service.pool(), service.objective().toMillis());
            }
            for (Contract.Call call : contract.calls()) {
                out().printf(
                                Locale.ROOT,
                                "  calls %s: %.3f a second, %d at once, objective %d ms, timeout %d"
                                        + " ms, value %s%n",
                                call.service(),
                                call.expectedWorkRate(),
                                call.maxInFlight(),
                                call.objective().toMillis(),
                                call.timeout().toMillis(),
                                call.value());
            }
        }
        return 0;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
