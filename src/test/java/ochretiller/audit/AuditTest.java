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
    private static List<Chain.Link> links(int count) {
        Chain chain = Chain.fresh();
        List<Chain.Link> links = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            links.add(chain.append(("record " + i).getBytes(StandardCharsets.UTF_8)));
        }
        return links;
    }

    private static Chain.Head head(Chain.Link link) {
        return Chain.behind(link).head();
    }

    private static byte[] other(byte[] bytes, int at) {
        byte[] spoilt = bytes.clone();
        spoilt[at] ^= 1;
        return spoilt;
    }

    @Test
    void aChainThatIsAsItWasHasNoFault() {
        List<Chain.Link> links = links(6);
        assertThat(Chain.verify(links, List.of(head(links.get(2)), head(links.get(5))))).isEmpty();
        assertThat(
                        Chain.verify(
                                links.subList(3, 6),
                                List.of(head(links.get(0)), head(links.get(4)))))
                .as("old ones are gone by rule")
                .isEmpty();
        Chain on = Chain.behind(links.get(5));
        links.add(on.append(new byte[] {7}));
        assertThat(Chain.verify(links, List.of(on.head())))
                .as("it goes on behind a restart")
                .isEmpty();
    }

    @Test
    void eachByteThatIsAnotherIsSeen() {
        List<Chain.Link> good = links(4);
        for (int which = 0; which < 4; which++) {
            Chain.Link link = good.get(which);
            for (int i = 0; i < link.body().length; i++) {
                assertThat(
                                faults(
                                        good,
                                        which,
                                        new Chain.Link(
                                                link.number(),
                                                link.before(),
                                                link.hash(),
                                                other(link.body(), i))))
                        .isNotEmpty();
            }
            for (int i = 0; i < Chain.HASH; i++) {
                assertThat(
                                faults(
                                        good,
                                        which,
                                        new Chain.Link(
                                                link.number(),
                                                other(link.before(), i),
                                                link.hash(),
                                                link.body())))
                        .isNotEmpty();
                assertThat(
                                faults(
                                        good,
                                        which,
                                        new Chain.Link(
                                                link.number(),
                                                link.before(),
                                                other(link.hash(), i),
                                                link.body())))
                        .isNotEmpty();
            }
            assertThat(
                            faults(
                                    good,
                                    which,
                                    new Chain.Link(
                                            link.number() + 1,
                                            link.before(),
                                            link.hash(),
                                            link.body())))
                    .isNotEmpty();
        }
    }

    private static List<Chain.Fault> faults(List<Chain.Link> good, int which, Chain.Link instead) {
        List<Chain.Link> links = new ArrayList<>(good);
        links.set(which, instead);
        return Chain.verify(links, List.of(head(good.get(3))));
    }

    @Test
    void missingSwappedAndRewrittenRecordsAreSeen() {
        List<Chain.Link> links = links(6);
        Chain.Head last = head(links.get(5));
        List<Chain.Link> gap = new ArrayList<>(links);
        gap.remove(2);
        assertThat(Chain.verify(gap, List.of()))
                .extracting(Chain.Fault::text)
                .anyMatch(text -> text.contains("1 records are missing"));
        List<Chain.Link> swapped = new ArrayList<>(links);
        swapped.set(2, links.get(3));
        swapped.set(3, links.get(2));
        assertThat(Chain.verify(swapped, List.of())).isNotEmpty();
        assertThat(Chain.verify(links.subList(0, 4), List.of(last)))
                .extracting(Chain.Fault::text)
                .anyMatch(text -> text.contains("the last 2 records are lost"));
        assertThat(Chain.verify(List.of(), List.of(last))).as("all of it is gone").isNotEmpty();
        // All of it written anew, with sums that fit: only what others know tells.
        Chain forged = Chain.fresh();
        List<Chain.Link> anew = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            anew.add(forged.append(("forged " + i).getBytes(StandardCharsets.UTF_8)));
        }
        assertThat(Chain.verify(anew, List.of())).isEmpty();
        assertThat(Chain.verify(anew, List.of(last)))
                .extracting(Chain.Fault::text)
                .containsExactly("others know it otherwise");
    }

    // ---- spans

    @Test
    void aSpanEndsWithItsVersionAndHasWhatWasCountedMeanwhile() {
        Spans spans = new Spans(Duration.ofSeconds(60));
        spans.start(1_000, Duration.ZERO);
        spans.begin(1, "", 1_000, Duration.ZERO);
        spans.count("order", Spans.What.READ);
        spans.count("order", Spans.What.RUN);
        assertThat(spans.due(50_000, Duration.ofSeconds(49))).isEmpty();
        Entry.Span first = spans.begin(2, "", 51_000, Duration.ofSeconds(50)).orElseThrow();
        assertThat(first.version()).isEqualTo(1);
        assertThat(first.operations().get("order")).isEqualTo(new Entry.Tally(1, 1, 0, 0, 0));
        assertThat(first.steppedMs()).isZero();
        Entry.Span stepped = spans.due(3_711_000, Duration.ofSeconds(110)).orElseThrow();
        assertThat(stepped.steppedMs())
                .as("its clock was set forward by an hour")
                .isEqualTo(3_600_000);
        assertThat(stepped.all()).isEqualTo(Entry.Tally.NONE);
        for (int i = 0; i < 1_000; i++) {
            spans.count("o" + i, Spans.What.READ);
        }
        assertThat(spans.end(3_712_000, Duration.ofSeconds(111)).operations())
                .hasSize(65)
                .containsKey(Spans.OTHERS);
    }

    // ---- what several tell

    private static Entry.Span span(long version, long from, long to) {
        return new Entry.Span(version, "", from, to, to - from, Map.of());
    }

    private static Entry.Event event(Entry.Kind kind, long at) {
        return new Entry.Event(kind, 0, at, "");
    }

    @Test
    void whatIsNotKnownIsSaidAsNotKnown() {
        Timeline line =
                new Timeline()
                        .add(
                                "a",
                                List.of(
                                        span(1, 0, 10_000),
                                        event(Entry.Kind.STARTED, 30_000),
                                        span(2, 30_000, 40_000)));
        assertThat(line.between(0, 60_000))
                .extracting(
                        Timeline.Stretch::known, Timeline.Stretch::fromMs, Timeline.Stretch::toMs)
                .containsExactly(
                        org.assertj.core.groups.Tuple.tuple(Timeline.Known.ACTED, 0L, 10_000L),
                                org.assertj.core.groups.Tuple.tuple(
                                        Timeline.Known.UNKNOWN, 10_000L, 30_000L),
                        org.assertj.core.groups.Tuple.tuple(Timeline.Known.ACTED, 30_000L, 40_000L),
                                org.assertj.core.groups.Tuple.tuple(
                                        Timeline.Known.UNKNOWN, 40_000L, 60_000L));
        assertThat(line.who(1, 0, 9_000)).containsEntry("a", Timeline.Known.ACTED);
        assertThat(line.who(1, 12_000, 20_000)).containsEntry("a", Timeline.Known.UNKNOWN);
        assertThat(line.who(1, 31_000, 39_500)).isEmpty();
    }

    @Test
    void whoWasShutOutAndWhoWasBehindAreTold() {
        Timeline line =
                new Timeline()
                        .add("a", List.of(span(1, 0, 10_000), span(2, 10_000, 60_000)))
                        .add(
                                "b",
                                List.of(
                                        span(1, 0, 30_000),
                                        event(Entry.Kind.SHUT_OUT, 30_000),
                                        span(1, 30_000, 50_000),
                                        event(Entry.Kind.LET_IN, 50_000),
                                        span(2, 50_000, 60_000)));
        assertThat(line.who(1, 35_000, 45_000))
                .containsEntry("b", Timeline.Known.SHUT_OUT)
                .doesNotContainKey("a");
        assertThat(line.behind(0, 60_000)).containsOnly(Map.entry("b", 40_000L));
    }

    @Test
    void aTokensRunsAreFoundUnderTheirVersions() {
        Timeline line =
                new Timeline()
                        .add("a", List.of(new Entry.Run(1, 500, "t"), new Entry.Run(2, 900, "u")))
                        .add("b", List.of(new Entry.Run(1, 400, "t")));
        assertThat(line.token("t"))
                .containsExactly(new Timeline.Ran("b", 1, 400), new Timeline.Ran("a", 1, 500));
        assertThat(line.token("none")).isEmpty();
    }

    @Test
    void aClockThatWasSetBackTellsNothingTwice() {
        Timeline line =
                new Timeline().add("a", List.of(span(1, 0, 10_000), span(2, 5_000, 20_000)));
        assertThat(line.between(0, 20_000))
                .extracting(Timeline.Stretch::toMs)
                .containsExactly(10_000L, 20_000L);
    }
}
