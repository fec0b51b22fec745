package ochretiller.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class JsonSettingsTest {
    private final SettingLookup settings =
            new JsonSettings(
                    Map.of(
                            "count",
                            3L,
                            "share",
                            0.5,
                            "on",
                            true,
                            "classes",
                            List.of(Map.of("name", "read", "aimNs", 2_000L)),
                            "names",
                            List.of("a", "b"),
                            "none",
                            List.of()));

    @Test
    void nestedValuesHaveThePathsOfTheSimulatorProtocol() {
        assertThat(settings.wholeNumber("count")).isEqualTo(3);
        assertThat(settings.number("share", 0)).isEqualTo(0.5);
        assertThat(settings.flag("on")).isTrue();
        assertThat(settings.wholeNumber("classes.count")).isEqualTo(1);
        assertThat(settings.text("classes.0.name")).isEqualTo("read");
        assertThat(settings.duration("classes.0.aimNs", Duration.ZERO))
                .isEqualTo(Duration.ofNanos(2_000));
        assertThat(settings.text("names")).isEqualTo("a,b");
        assertThat(settings.has("none")).isFalse();
    }

    @Test
    void exceptionNamesTheSetting() {
        assertThatThrownBy(() -> settings.wholeNumber("share"))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("share");
        assertThatThrownBy(() -> settings.text("absent"))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("absent");
    }
}
