package ochretiller.contracts;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.budgets.GuaranteedRate;
import ochretiller.budgets.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ContractsTest {
    private final List<Contract> contracts = new ArrayList<>();

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static Contract.Call call(String service, double work) {
        return new Contract.Call(service, work, 10, ms(500), ms(2_000), 1);
    }

    /** Adds a team that publishes a service of its own name and calls others. */
    private void addTeam(String name, double rate, String address, Contract.Call... calls) {
        contracts.add(
                new Contract(
                        new TeamId(name),
                        1,
                        List.of(address),
                        List.of(new Contract.Service(name, name + "-pool", ms(200))),
                        List.of(calls),
                        new GuaranteedRate(rate, 0.1, 1, 0.1, 0.1)));
    }

    private List<String> faults() {
        return Contracts.of(10, contracts).faults();
    }

    @Test
    void validContractsHaveNoFaults() {
        addTeam("parts", 4, "10.1.0.0/16");
        addTeam("fit", 3, "10.2.0.0/16", call("parts", 2));
        addTeam("ordering", 3, "10.3.0.0/16", call("parts", 1), call("fit", 1));
        assertThat(faults()).isEmpty();
    }

    @Test
    void reportsGuaranteesOverTheCapacity() {
        addTeam("parts", 6, "10.1.0.0/16");
        addTeam("fit", 5, "10.2.0.0/16");
        assertThat(faults())
                .containsExactly(
                        "promises of 11.000 core seconds a second are over the capacity of 10.000");
    }

    @Test
    void reportsUnknownAndDuplicateServices() {
        addTeam("parts", 1, "10.1.0.0/16", call("fit", 0.1), call("fit", 0.1));
        contracts.add(
                new Contract(
                        new TeamId("other"),
                        1,
                        List.of(),
                        List.of(new Contract.Service("parts", "p", ms(1))),
                        List.of(),
                        new GuaranteedRate(1, 0, 1, 0, 0)));
        assertThat(faults())
                .containsExactlyInAnyOrder(
                        "service parts is published by parts and by other",
                        "parts calls fit, which nobody publishes",
                        "parts calls fit twice",
                        "parts calls fit, which nobody publishes");
    }

    @Test
    void reportsEachCycleOnceWithItsPath() {
        addTeam("a", 1, "10.1.0.0/16", call("b", 0.1));
        addTeam("b", 1, "10.2.0.0/16", call("c", 0.1));
        addTeam("c", 1, "10.3.0.0/16", call("a", 0.1), call("d", 0.1));
        addTeam("d", 1, "10.4.0.0/16", call("d", 0.1));
        assertThat(faults())
                .containsExactlyInAnyOrder(
                        "services call one another in a circle: a -> b -> c -> a",
                        "services call one another in a circle: d -> d");
    }

    @Test
    void reportsUnreachableObjectivesAndWorkOverTheGuarantee() {
        addTeam("parts", 1, "10.1.0.0/16");
        addTeam("fit", 1, "10.2.0.0/16", new Contract.Call("parts", 2, 10, ms(100), ms(50), 1));
        assertThat(faults())
                .containsExactly(
                        "fit calls parts with an objective behind its timeout",
                        "fit calls parts within 100 ms, which promises 200 ms: no route can meet"
                                + " that",
                        "fit expects to cause 2.000 core seconds a second and is promised 1.000");
    }

    @Test
    void reportsInvalidAndOverlappingAddresses() {
        addTeam("parts", 1, "10.1.0.0/16");
        addTeam("fit", 1, "10.1.7.9");
        addTeam("odd", 1, "10.1.0.1/16");
        assertThat(faults())
                .containsExactly(
                        "10.1.7.9 of fit meets 10.1.0.0/16 of parts",
                        "odd: '10.1.0.1/16' is no address or prefix");
    }

    @ParameterizedTest
    @CsvSource({
        "10.0.0.0/8, true",
        "0.0.0.0/0, true",
        "255.255.255.255, true",
        "256.0.0.0, false",
        "10.0.0/8, false",
        "10.0.0.0/33, false",
        "10.0.0.0/08, false",
        "01.0.0.0, false",
        "10.0.0.0/, false",
        "::1, false",
        "10.128.0.0/8, false"
    })
    void parsesPrefixesStrictly(String text, boolean isValid) {
        assertThat(AddressPrefix.parse(text) != null).isEqualTo(isValid);
        if (isValid) {
            assertThat(AddressPrefix.parse(text)).hasToString(text);
        }
    }

    @Test
    void describesTheChangesOfEachTeam() {
        addTeam("parts", 4, "10.1.0.0/16");
        addTeam("fit", 3, "10.2.0.0/16", call("parts", 2));
        addTeam("ordering", 3, "10.3.0.0/16");
        Contracts previous = Contracts.of(10, List.copyOf(contracts));
        contracts.clear();
        contracts.add(
                new Contract(
                        new TeamId("parts"),
                        2,
                        List.of("10.1.0.0/16"),
                        List.of(new Contract.Service("parts", "parts-pool", ms(200))),
                        List.of(),
                        new GuaranteedRate(5, 0.1, 3, 0.1, 0.1)));
        addTeam("fit", 3, "10.2.0.0/16");
        addTeam("new", 1, "10.4.0.0/16");
        assertThat(previous.describeChanges(Contracts.of(10, contracts)))
                .containsExactly(
                        "parts promised 4.000 core seconds a second -> 5.000 core seconds a second",
                        "parts has 0.333 -> 0.600 of what is idle where all want it",
                        "fit changes without a higher version: 1 -> 1",
                        "fit has 0.333 -> 0.200 of what is idle where all want it",
                        "fit calls parts no more",
                        "ordering goes: what it asks from then on is refused, what was read is"
                                + " answered",
                        "new comes, promised 1.000 core seconds a second");
        assertThat(previous.describeChanges(previous)).isEmpty();
    }
}
