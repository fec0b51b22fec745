package ochretiller.audit;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Chains in which each change is seen, and what can be told from the records of several servers.
 */
class AuditTest {
    private static List<HashChain.ChainedRecord> links(int count) {
        HashChain chain = HashChain.empty();
        List<HashChain.ChainedRecord> links = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            links.add(chain.append(("record " + i).getBytes(StandardCharsets.UTF_8)));
        }
        return links;
    }

    private static HashChain.ChainHead head(HashChain.ChainedRecord link) {
        return HashChain.continuing(link).head();
    }

    private static byte[] other(byte[] bytes, int at) {
        byte[] spoilt = bytes.clone();
        spoilt[at] ^= 1;
        return spoilt;
    }

    @Test
    void aChainThatIsAsItWasHasNoFault() {
        List<HashChain.ChainedRecord> links = links(6);
        assertThat(HashChain.verify(links, List.of(head(links.get(2)), head(links.get(5)))))
                .isEmpty();
        assertThat(
                        HashChain.verify(
                                links.subList(3, 6),
                                List.of(head(links.get(0)), head(links.get(4)))))
                .as("old ones are gone by rule")
                .isEmpty();
        HashChain on = HashChain.continuing(links.get(5));
        links.add(on.append(new byte[] {7}));
        assertThat(HashChain.verify(links, List.of(on.head())))
                .as("it goes on behind a restart")
                .isEmpty();
    }

    @Test
    void eachByteThatIsAnotherIsSeen() {
        List<HashChain.ChainedRecord> good = links(4);
        for (int which = 0; which < 4; which++) {
            HashChain.ChainedRecord link = good.get(which);
            for (int i = 0; i < link.body().length; i++) {
                assertThat(
                                faults(
                                        good,
                                        which,
                                        new HashChain.ChainedRecord(
                                                link.number(),
                                                link.previousHash(),
                                                link.hash(),
                                                other(link.body(), i))))
                        .isNotEmpty();
            }
            for (int i = 0; i < HashChain.HASH_BYTES; i++) {
                assertThat(
                                faults(
                                        good,
                                        which,
                                        new HashChain.ChainedRecord(
                                                link.number(),
                                                other(link.previousHash(), i),
                                                link.hash(),
                                                link.body())))
                        .isNotEmpty();
                assertThat(
                                faults(
                                        good,
                                        which,
                                        new HashChain.ChainedRecord(
                                                link.number(),
                                                link.previousHash(),
                                                other(link.hash(), i),
                                                link.body())))
                        .isNotEmpty();
            }
            assertThat(
                            faults(
                                    good,
                                    which,
                                    new HashChain.ChainedRecord(
                                            link.number() + 1,
                                            link.previousHash(),
                                            link.hash(),
                                            link.body())))
                    .isNotEmpty();
        }
    }

    private static List<HashChain.ChainFault> faults(
            List<HashChain.ChainedRecord> good, int which, HashChain.ChainedRecord instead) {
        List<HashChain.ChainedRecord> links = new ArrayList<>(good);
        links.set(which, instead);
        return HashChain.verify(links, List.of(head(good.get(3))));
    }

    @Test
    void missingSwappedAndRewrittenRecordsAreSeen() {
        List<HashChain.ChainedRecord> links = links(6);
        HashChain.ChainHead last = head(links.get(5));
        List<HashChain.ChainedRecord> gap = new ArrayList<>(links);
        gap.remove(2);
        assertThat(HashChain.verify(gap, List.of()))
                .extracting(HashChain.ChainFault::description)
                .anyMatch(text -> text.contains("1 records are missing"));
        List<HashChain.ChainedRecord> swapped = new ArrayList<>(links);
        swapped.set(2, links.get(3));
        swapped.set(3, links.get(2));
        assertThat(HashChain.verify(swapped, List.of())).isNotEmpty();
        assertThat(HashChain.verify(links.subList(0, 4), List.of(last)))
                .extracting(HashChain.ChainFault::description)
                .anyMatch(text -> text.contains("the last 2 records are lost"));
        assertThat(HashChain.verify(List.of(), List.of(last))).as("all of it is gone").isNotEmpty();
        // All of it written anew, with sums that fit: only what others know tells.
        HashChain forged = HashChain.empty();
        List<HashChain.ChainedRecord> anew = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            anew.add(forged.append(("forged " + i).getBytes(StandardCharsets.UTF_8)));
        }
        assertThat(HashChain.verify(anew, List.of())).isEmpty();
        assertThat(HashChain.verify(anew, List.of(last)))
                .extracting(HashChain.ChainFault::description)
                .containsExactly("others know it otherwise");
    }

    // ---- spans

    @Test
    void aSpanEndsWithItsVersionAndHasWhatWasCountedMeanwhile() {
        VersionUsage spans = new VersionUsage(Duration.ofSeconds(60));
        spans.startPeriod(1_000, Duration.ZERO);
        spans.switchVersion(1, "", 1_000, Duration.ZERO);
        spans.count("order", VersionUsage.InvocationOutcome.RECEIVED);
        spans.count("order", VersionUsage.InvocationOutcome.EXECUTED);
        assertThat(spans.closeIfDue(50_000, Duration.ofSeconds(49))).isEmpty();
        AuditRecord.VersionPeriod first =
                spans.switchVersion(2, "", 51_000, Duration.ofSeconds(50)).orElseThrow();
        assertThat(first.version()).isEqualTo(1);
        assertThat(first.operations().get("order"))
                .isEqualTo(new AuditRecord.InvocationCounts(1, 1, 0, 0, 0));
        assertThat(first.clockStepMillis()).isZero();
        AuditRecord.VersionPeriod stepped =
                spans.closeIfDue(3_711_000, Duration.ofSeconds(110)).orElseThrow();
        assertThat(stepped.clockStepMillis())
                .as("its clock was set forward by an hour")
                .isEqualTo(3_600_000);
        assertThat(stepped.totals()).isEqualTo(AuditRecord.InvocationCounts.NONE);
        for (int i = 0; i < 1_000; i++) {
            spans.count("o" + i, VersionUsage.InvocationOutcome.RECEIVED);
        }
        assertThat(spans.closePeriod(3_712_000, Duration.ofSeconds(111)).operations())
                .hasSize(65)
                .containsKey(VersionUsage.OTHERS);
    }

    // ---- what several tell

    private static AuditRecord.VersionPeriod span(long version, long from, long to) {
        return new AuditRecord.VersionPeriod(version, "", from, to, to - from, Map.of());
    }

    private static AuditRecord.AuditEvent event(AuditRecord.AuditEventKind kind, long at) {
        return new AuditRecord.AuditEvent(kind, 0, at, "");
    }

    @Test
    void whatIsNotKnownIsSaidAsNotKnown() {
        FleetTimeline line =
                new FleetTimeline()
                        .addServer(
                                "a",
                                List.of(
                                        span(1, 0, 10_000),
                                        event(AuditRecord.AuditEventKind.STARTED, 30_000),
                                        span(2, 30_000, 40_000)));
        assertThat(line.intervals(0, 60_000))
                .extracting(
                        FleetTimeline.TimelineInterval::status,
                        FleetTimeline.TimelineInterval::startMillis,
                        FleetTimeline.TimelineInterval::endMillis)
                .containsExactly(
                        org.assertj.core.groups.Tuple.tuple(
                                        FleetTimeline.VersionStatus.ACTIVE, 0L, 10_000L),
                                org.assertj.core.groups.Tuple.tuple(
                                        FleetTimeline.VersionStatus.UNKNOWN, 10_000L, 30_000L),
                        org.assertj.core.groups.Tuple.tuple(
                                        FleetTimeline.VersionStatus.ACTIVE, 30_000L, 40_000L),
                                org.assertj.core.groups.Tuple.tuple(
                                        FleetTimeline.VersionStatus.UNKNOWN, 40_000L, 60_000L));
        assertThat(line.serversOnVersion(1, 0, 9_000))
                .containsEntry("a", FleetTimeline.VersionStatus.ACTIVE);
        assertThat(line.serversOnVersion(1, 12_000, 20_000))
                .containsEntry("a", FleetTimeline.VersionStatus.UNKNOWN);
        assertThat(line.serversOnVersion(1, 31_000, 39_500)).isEmpty();
    }

    @Test
    void whoWasShutOutAndWhoWasBehindAreTold() {
        FleetTimeline line =
                new FleetTimeline()
                        .addServer("a", List.of(span(1, 0, 10_000), span(2, 10_000, 60_000)))
                        .addServer(
                                "b",
                                List.of(
                                        span(1, 0, 30_000),
                                        event(AuditRecord.AuditEventKind.FENCED, 30_000),
                                        span(1, 30_000, 50_000),
                                        event(AuditRecord.AuditEventKind.UNFENCED, 50_000),
                                        span(2, 50_000, 60_000)));
        assertThat(line.serversOnVersion(1, 35_000, 45_000))
                .containsEntry("b", FleetTimeline.VersionStatus.FENCED)
                .doesNotContainKey("a");
        assertThat(line.stragglerMillis(0, 60_000)).containsOnly(Map.entry("b", 40_000L));
    }

    @Test
    void aTokensRunsAreFoundUnderTheirVersions() {
        FleetTimeline line =
                new FleetTimeline()
                        .addServer(
                                "a",
                                List.of(
                                        new AuditRecord.KeyedRun(1, 500, "t"),
                                        new AuditRecord.KeyedRun(2, 900, "u")))
                        .addServer("b", List.of(new AuditRecord.KeyedRun(1, 400, "t")));
        assertThat(line.runsOfToken("t"))
                .containsExactly(
                        new FleetTimeline.TokenRun("b", 1, 400),
                        new FleetTimeline.TokenRun("a", 1, 500));
        assertThat(line.runsOfToken("none")).isEmpty();
    }

    @Test
    void aClockThatWasSetBackTellsNothingTwice() {
        FleetTimeline line =
                new FleetTimeline()
                        .addServer("a", List.of(span(1, 0, 10_000), span(2, 5_000, 20_000)));
        assertThat(line.intervals(0, 20_000))
                .extracting(FleetTimeline.TimelineInterval::endMillis)
                .containsExactly(10_000L, 20_000L);
    }
}
