package ochretiller.audit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Queries over the records of several servers. */
class FleetTimelineTest {
    private static VersionPeriod period(long version, long startMillis, long endMillis) {
        return new VersionPeriod(
                version, "", startMillis, endMillis, endMillis - startMillis, Map.of());
    }

    private static AuditEvent event(AuditEventKind kind, long atMillis) {
        return new AuditEvent(kind, 0, atMillis, "");
    }

    @Test
    void timeWithoutRecordsIsAnUnknownInterval() {
        FleetTimeline timeline =
                new FleetTimeline()
                        .addServer(
                                "a",
                                List.of(
                                        period(1, 0, 10_000),
                                        event(AuditEventKind.STARTED, 30_000),
                                        period(2, 30_000, 40_000)));
        assertThat(timeline.intervals(0, 60_000))
                .extracting(
                        TimelineInterval::status,
                        TimelineInterval::startMillis,
                        TimelineInterval::endMillis)
                .containsExactly(
                        tuple(VersionStatus.ACTIVE, 0L, 10_000L),
                        tuple(VersionStatus.UNKNOWN, 10_000L, 30_000L),
                        tuple(VersionStatus.ACTIVE, 30_000L, 40_000L),
                        tuple(VersionStatus.UNKNOWN, 40_000L, 60_000L));
        assertThat(timeline.serversOnVersion(1, 0, 9_000)).containsEntry("a", VersionStatus.ACTIVE);
        assertThat(timeline.serversOnVersion(1, 12_000, 20_000))
                .containsEntry("a", VersionStatus.UNKNOWN);
        assertThat(timeline.serversOnVersion(1, 31_000, 39_500)).isEmpty();
    }

    @Test
    void fencedServersAndStragglersAreReported() {
        FleetTimeline timeline =
                new FleetTimeline()
                        .addServer("a", List.of(period(1, 0, 10_000), period(2, 10_000, 60_000)))
                        .addServer(
                                "b",
                                List.of(
                                        period(1, 0, 30_000),
                                        event(AuditEventKind.FENCED, 30_000),
                                        period(1, 30_000, 50_000),
                                        event(AuditEventKind.UNFENCED, 50_000),
                                        period(2, 50_000, 60_000)));
        assertThat(timeline.serversOnVersion(1, 35_000, 45_000))
                .containsEntry("b", VersionStatus.FENCED)
                .doesNotContainKey("a");
        assertThat(timeline.stragglerMillis(0, 60_000)).containsOnly(Map.entry("b", 40_000L));
    }

    @Test
    void runsOfATokenAreFoundUnderTheirVersions() {
        FleetTimeline timeline =
                new FleetTimeline()
                        .addServer(
                                "a", List.of(new KeyedRun(1, 500, "t"), new KeyedRun(2, 900, "u")))
                        .addServer("b", List.of(new KeyedRun(1, 400, "t")));
        assertThat(timeline.runsOfToken("t"))
                .containsExactly(new TokenRun("b", 1, 400), new TokenRun("a", 1, 500));
        assertThat(timeline.runsOfToken("none")).isEmpty();
    }

    @Test
    void clockSetBackCausesNoOverlappingIntervals() {
        FleetTimeline timeline =
                new FleetTimeline()
                        .addServer("a", List.of(period(1, 0, 10_000), period(2, 5_000, 20_000)));
        assertThat(timeline.intervals(0, 20_000))
                .extracting(TimelineInterval::endMillis)
                .containsExactly(10_000L, 20_000L);
    }
}
