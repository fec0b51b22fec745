package ochretiller.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.time.Duration;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.settings.MalformedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorConfigReaderTest {
    @Test
    void readsTheExample() {
        OperatorConfig example = OperatorConfigReader.read(Path.of("deploy/operator.json5"));
        assertThat(example.jsonLog()).isTrue();
        assertThat(example.durability())
                .hasValueSatisfying(
                        remember -> {
                            assertThat(remember.maxBytes()).isEqualTo(64L << 20);
                            assertThat(remember.stallThreshold()).isEqualTo(Duration.ofMillis(250));
                        });
    }

    @Test
    void emptyFileEnablesNothing() {
        assertThat(OperatorConfigReader.parse("{ /* nothing */ }", "f"))
                .isEqualTo(OperatorConfig.NONE);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{ lag: {} }                                 | f:1:8: ; 'lag'",
                "{ log: { format: 'xml' } }                  | f:1:18: ; /log/format",
                "{ remember: { most_mb: 4 } }                | f:1:13: ; 'folder'",
                "{ remember: { folder: 'x', most_mb: 0 } }   | f:1:37: ; /remember/most_mb",
                "{ remember: { folder: 7 } }                 | f:1:23: ; /remember/folder",
                "{ log: {}, log: {} }                        | f:1:17: ; log",
                "{ log: {} } {}                              | f:1:13: ; Trailing",
                "{ fleet: { name: 'p', listen: '1.2.3.4:5' } } | f:1:10: ; 'key_file'",
                "{ fleet: { name: 'p', listen: 'here:5', key_file: 'k' } } | f:1:31: ;"
                        + " /fleet/listen",
                "{ fleet: { name: 'p', listen: '1.2.3.4:5', key_file: 'k', seeds: ['1.2.3.4:99999']"
                        + " } } | fleet: ; 99999",
                "{ drill: { clock_ms: -5 } }                 | drill: ; only drills",
                "[]                                          | f:1:1: ; object",
                "{ log:                                      | f:1: ; f",
                "log                                         | f:1:1: ; log"
            })
    void reportsFaultWithItsPosition(String text, String expected) {
        String[] parts = expected.split(" ; ");
        assertThatThrownBy(() -> OperatorConfigReader.parse(text.replace("\\n", "\n"), "f"))
                .isInstanceOf(MalformedException.class)
                .message()
                .startsWith(parts[0].trim())
                .contains(parts[1].trim())
                .doesNotContain("\n");
    }

    @Test
    void readsFleetWithDefaults() {
        OperatorConfig config =
                OperatorConfigReader.parse(
                        "{ fleet: { name: 'parts', listen: '127.0.0.1:4200', key_file: '/k', seeds:"
                                + " ['10.0.0.2:4200'], forget_s: 60 } }",
                        "f");
        assertThat(config.fleet())
                .hasValueSatisfying(
                        fleet -> {
                            assertThat(fleet.seeds())
                                    .containsExactly(new PeerAddress("10.0.0.2", 4200));
                            assertThat(fleet.timing().probeInterval())
                                    .isEqualTo(Duration.ofMillis(100));
                            assertThat(fleet.timing().departedRetention())
                                    .isEqualTo(Duration.ofSeconds(60));
                        });
    }

    @Test
    void reportsMissingFile() {
        assertThatThrownBy(() -> OperatorConfigReader.read(Path.of("none.json5")))
                .hasMessageContaining("none.json5");
    }
}
