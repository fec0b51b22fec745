package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ochretiller.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

/** Pins the complete help text of the program and of each sub-command. */
class HelpTextTest {
    private static final List<String> COMMANDS =
            List.of(
                    "ochretiller",
                    "audit",
                    "audit behind",
                    "audit chart",
                    "audit gaps",
                    "audit token",
                    "audit verify",
                    "audit when",
                    "audit who",
                    "check",
                    "contract",
                    "contract check",
                    "contract diff",
                    "contract show",
                    "copies",
                    "copies diff",
                    "copies repair",
                    "copies show",
                    "copies status",
                    "fleet",
                    "fleet go-on",
                    "fleet leave",
                    "fleet pause",
                    "fleet ping",
                    "fleet publish",
                    "fleet take-back",
                    "fleet versions",
                    "fleet view",
                    "serve",
                    "simhost",
                    "store",
                    "store compact",
                    "store list",
                    "store stat",
                    "store verify",
                    "try",
                    "version");

    static List<String> commands() {
        return COMMANDS;
    }

    private static void collect(String path, CommandLine line, List<String> all) {
        for (Map.Entry<String, CommandLine> entry : line.getSubcommands().entrySet()) {
            String name = path.isEmpty() ? entry.getKey() : path + ' ' + entry.getKey();
            all.add(name);
            collect(name, entry.getValue(), all);
        }
    }

    @Test
    void allSubCommandsAreListed() {
        List<String> all = new ArrayList<>(List.of("ochretiller"));
        collect("", new CommandLine(Main.class), all);
        assertThat(all).containsExactlyInAnyOrderElementsOf(COMMANDS);
    }

    @ParameterizedTest
    @MethodSource("commands")
    void helpTextIsUnchanged(String command) throws IOException {
        CommandLine line = new CommandLine(Main.class);
        if (!command.equals("ochretiller")) {
            for (String word : command.split(" ")) {
                line = line.getSubcommands().get(word);
            }
        }
        String file = "help/" + command.replace(' ', '-') + ".txt";
        try (var in = HelpTextTest.class.getResourceAsStream(file)) {
            assertThat(line.getUsageMessage(CommandLine.Help.Ansi.OFF))
                    .isEqualTo(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
