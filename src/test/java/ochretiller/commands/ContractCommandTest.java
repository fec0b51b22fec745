package ochretiller.commands;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import ochretiller.operator.ContractFiles;
import ochretiller.settings.MalformedException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class ContractCommandTest {
    @TempDir private Path folder;

    @BeforeEach
    void writeContracts() throws IOException {
        Files.writeString(folder.resolve("broker.json5"), "{ work_per_s: 10 }");
        Files.writeString(
                folder.resolve("parts.json5"),
                "{ team: 'parts', version: 1, publishes: [ { service: 'stock', pool: 'p',"
                        + " objective_ms: 200 } ], promise: { work_per_s: 4 } }");
        Files.writeString(
                folder.resolve("fit.json5"),
                "{ team: 'fit', version: 1, calls: [ { service: 'stock', work_per_s: 1,"
                    + " objective_ms: 500, timeout_ms: 900 } ], promise: { work_per_s: 2, weight: 4"
                    + " } }");
    }

    private String output(String... args) {
        StringWriter out = new StringWriter();
        CommandLine commandLine =
                new CommandLine(new ContractCommand()).setOut(new PrintWriter(out));
        assertThat(commandLine.execute(args)).isZero();
        return out.toString();
    }

    @Test
    void validContractsAreCheckedAndShown() {
        assertThat(output("check", folder.toString())).contains("2 contracts are good");
        assertThat(output("show", folder.toString()))
                .contains(
                        "capacity 10.000",
                        "6.000 promised",
                        "fit, version 1: 2.000 a second, burst 0.200, weight 4.000",
                        "publishes stock on p within 200 ms",
                        "calls stock: 1.000 a second, 100 at once, objective 500 ms, timeout 900"
                                + " ms");
    }

    @Test
    void diffListsChangedContractsOnly(@TempDir Path next) throws IOException {
        for (String file : new String[] {"broker.json5", "fit.json5"}) {
            Files.copy(folder.resolve(file), next.resolve(file));
        }
        Files.writeString(
                next.resolve("parts.json5"),
                Files.readString(folder.resolve("parts.json5"))
                        .replace("version: 1", "version: 2")
                        .replace("work_per_s: 4", "work_per_s: 8, weight: 4"));
        assertThat(output("diff", folder.toString(), next.toString()))
                .contains("parts promised 4.000 core seconds a second -> 8.000")
                .doesNotContain("fit");
        assertThat(output("diff", folder.toString(), folder.toString()))
                .contains("nothing changes");
    }

    @Test
    void faultsAreReportedWithFileAndLine() throws IOException {
        Files.writeString(
                folder.resolve("fit.json5"),
                "{ team: 'fit', version: 0,\n promise: { work_per_s: -1 } }");
        Files.writeString(
                folder.resolve("twice.json5"), Files.readString(folder.resolve("parts.json5")));
        assertThatThrownBy(() -> ContractFiles.read(folder))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("fit.json5:1:")
                .hasMessageContaining(":2:")
                .hasMessageContaining("twice.json5: a second contract of parts");
    }

    @Test
    void faultsAcrossContractsAreReportedIfEachContractIsValid() throws IOException {
        Files.writeString(
                folder.resolve("big.json5"),
                "{ team: 'big', version: 1, promise: { work_per_s: 5 } }");
        assertThatThrownBy(() -> ContractFiles.read(folder))
                .hasMessageContaining("over the capacity of 10.000");
        Files.delete(folder.resolve("broker.json5"));
        assertThatThrownBy(() -> ContractFiles.read(folder))
                .hasMessageContaining("cannot read the broker's file");
    }
}
