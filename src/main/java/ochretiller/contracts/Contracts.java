package ochretiller.contracts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.budgets.GuaranteedRate;
import ochretiller.budgets.TeamId;

/**
 * All contracts of a broker.
 *
 * @param capacity core seconds per second that the broker has available
 */
public record Contracts(double capacity, Map<TeamId, Contract> byTeam) {
    /** Relative rounding error by which a sum may exceed its limit. */
    private static final double ROUNDING = 1e-9;

    /** Collects contracts; of several contracts of one team, the last one counts. */
    public static Contracts of(double capacity, List<Contract> contracts) {
        Map<TeamId, Contract> byTeam = new LinkedHashMap<>();
        for (Contract contract : contracts) {
            byTeam.put(contract.team(), contract);
        }
        return new Contracts(capacity, byTeam);
    }

    /** Returns the guaranteed rate of each team, for the budgets. */
    public Map<TeamId, GuaranteedRate> guaranteedRates() {
        Map<TeamId, GuaranteedRate> rates = new LinkedHashMap<>();
        byTeam.forEach((team, contract) -> rates.put(team, contract.guarantee()));
        return rates;
    }

    /** Returns the sum of all guaranteed rates in core seconds per second. */
    public double guaranteedRateSum() {
        return byTeam.values().stream().mapToDouble(contract -> contract.guarantee().rate()).sum();
    }

    private Map<String, Contract> publishers() {
        Map<String, Contract> publishers = new TreeMap<>();
        for (Contract contract : byTeam.values()) {
            for (Contract.Service service : contract.services()) {
                publishers.put(service.name(), contract);
            }
        }
        return publishers;
    }

    /** Returns the faults of the contracts as a whole, one line each; empty if they are valid. */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        double sum = guaranteedRateSum();
        if (sum > capacity * (1 + ROUNDING)) {
            faults.add(
                    String.format(
                            Locale.ROOT,
                            "promises of %.3f core seconds a second are over the capacity of %.3f",
                            sum,
                            capacity));
        }
        checkPublishers(faults);
        checkAddresses(faults);
        Map<String, Contract> publishers = publishers();
        for (Contract contract : byTeam.values()) {
            checkCalls(contract, publishers, faults);
        }
        checkCycles(publishers, faults);
        return faults;
    }

    private void checkPublishers(List<String> faults) {
        Map<String, TeamId> publisherByService = new HashMap<>();
        for (Contract contract : byTeam.values()) {
            for (Contract.Service service : contract.services()) {
                TeamId other = publisherByService.putIfAbsent(service.name(), contract.team());
                if (other != null) {
                    faults.add(
                            "service "
                                    + service.name()
                                    + " is published by "
                                    + other
                                    + " and by "
                                    + contract.team());
                }
            }
        }
    }

    /**
     * Checks that the prefixes of two teams never overlap, so that an address identifies one team.
     */
    private void checkAddresses(List<String> faults) {
        List<AddressPrefix> prefixes = new ArrayList<>();
        List<TeamId> owners = new ArrayList<>();
        for (Contract contract : byTeam.values()) {
            for (String text : contract.clientAddresses()) {
                AddressPrefix prefix = AddressPrefix.parse(text);
                if (prefix == null) {
                    faults.add(contract.team() + ": '" + text + "' is no address or prefix");
                    continue;
                }
                for (int i = 0; i < prefixes.size(); i++) {
                    if (owners.get(i).equals(contract.team())
                            || !prefixes.get(i).overlaps(prefix)) {
                        continue;
                    }
                    faults.add(
                            text
                                    + " of "
                                    + contract.team()
                                    + " meets "
                                    + prefixes.get(i)
                                    + " of "
                                    + owners.get(i));
                }
                prefixes.add(prefix);
                owners.add(contract.team());
            }
        }
    }

    private static void checkCalls(
            Contract contract, Map<String, Contract> publishers, List<String> faults) {
        Set<String> seen = new LinkedHashSet<>();
        for (Contract.Call call : contract.calls()) {
            String description = contract.team() + " calls " + call.service();
            if (!seen.add(call.service())) {
                faults.add(description + " twice");
            }
            Contract publisher = publishers.get(call.service());
            if (publisher == null) {
                faults.add(description + ", which nobody publishes");
                continue;
            }
            if (call.objective().compareTo(call.timeout()) > 0) {
                faults.add(description + " with an objective behind its timeout");
            }
            for (Contract.Service service : publisher.services()) {
                if (service.name().equals(call.service())
                        && service.objective().compareTo(call.objective()) > 0) {
                    faults.add(
                            description
                                    + " within "
                                    + call.objective().toMillis()
                                    + " ms, which promises "
                                    + service.objective().toMillis()
                                    + " ms: no route can meet that");
                }
            }
        }
        double expectedWork =
                contract.calls().stream().mapToDouble(Contract.Call::expectedWorkRate).sum();
        if (expectedWork > contract.guarantee().rate() * (1 + ROUNDING)) {
            faults.add(
                    String.format(
                            Locale.ROOT,
                            "%s expects to cause %.3f core seconds a second and is promised %.3f",
                            contract.team(),
                            expectedWork,
                            contract.guarantee().rate()));
        }
    }

    /**
     * Reports each cycle of calls once. A service that calls itself through others would occupy
     * in-flight slots while it waits for itself.
     */
    private static void checkCycles(Map<String, Contract> publishers, List<String> faults) {
        Map<String, Set<String>> callsByService = new TreeMap<>();
        publishers.forEach(
                (service, contract) -> {
                    Set<String> called = new TreeSet<>();
                    for (Contract.Call call : contract.calls()) {
                        called.add(call.service());
                    }
                    callsByService.put(service, called);
                });
        Set<String> visited = new LinkedHashSet<>();
        for (String service : callsByService.keySet()) {
            findCycles(service, callsByService, new ArrayList<>(), visited, faults);
        }
    }

    private static void findCycles(
            String service,
            Map<String, Set<String>> callsByService,
            List<String> path,
            Set<String> visited,
            List<String> faults) {
        int cycleStart = path.indexOf(service);
        if (cycleStart >= 0) {
            List<String> cycle = new ArrayList<>(path.subList(cycleStart, path.size()));
            cycle.add(service);
            faults.add("services call one another in a circle: " + String.join(" -> ", cycle));
            return;
        }
        if (visited.contains(service) || !callsByService.containsKey(service)) {
            return;
        }
        path.add(service);
        for (String called : callsByService.get(service)) {
            findCycles(called, callsByService, path, visited, faults);
        }
        path.remove(path.size() - 1);
        visited.add(service);
    }

    /**
     * Describes the effect of replacing these contracts with others, one line per change; a team
     * that is not affected has none.
     */
    public List<String> describeChanges(Contracts replacement) {
        List<String> lines = new ArrayList<>();
        if (capacity != replacement.capacity) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "capacity %.3f -> %.3f core seconds a second",
                            capacity,
                            replacement.capacity));
        }
        Set<TeamId> teams = new LinkedHashSet<>(byTeam.keySet());
        teams.addAll(replacement.byTeam.keySet());
        for (TeamId team : teams) {
            Contract previous = byTeam.get(team);
            Contract updated = replacement.byTeam.get(team);
            if (previous == null) {
                lines.add(team + " comes, promised " + formatRate(updated.guarantee().rate()));
            } else if (updated == null) {
                lines.add(
                        team
                                + " goes: what it asks from then on is refused, what was read is"
                                + " answered");
            } else {
                addChanges(previous, updated, replacement, lines);
            }
        }
        return lines;
    }

    private static String formatRate(double rate) {
        return String.format(Locale.ROOT, "%.3f core seconds a second", rate);
    }

    private void addChanges(
            Contract previous, Contract updated, Contracts replacement, List<String> lines) {
        String team = previous.team() + " ";
        if (!previous.equals(updated) && updated.version() <= previous.version()) {
            lines.add(
                    team
                            + "changes without a higher version: "
                            + previous.version()
                            + " -> "
                            + updated.version());
        }
        if (previous.guarantee().rate() != updated.guarantee().rate()) {
            lines.add(
                    team
                            + "promised "
                            + formatRate(previous.guarantee().rate())
                            + " -> "
                            + formatRate(updated.guarantee().rate()));
        }
        double oldFraction = idleFraction(previous);
        double newFraction = replacement.idleFraction(updated);
        if (Math.abs(oldFraction - newFraction) > 0.0005) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%shas %.3f -> %.3f of what is idle where all want it",
                            team,
                            oldFraction,
                            newFraction));
        }
        if (previous.guarantee().burst() != updated.guarantee().burst()) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%sburst %.3f -> %.3f core seconds",
                            team,
                            previous.guarantee().burst(),
                            updated.guarantee().burst()));
        }
        if (previous.guarantee().retryRatio() != updated.guarantee().retryRatio()) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%sretries %.3f -> %.3f of first tries",
                            team,
                            previous.guarantee().retryRatio(),
                            updated.guarantee().retryRatio()));
        }
        addListChanges(
                team,
                "calls",
                previous.calls().stream().map(Contract.Call::service).toList(),
                updated.calls().stream().map(Contract.Call::service).toList(),
                lines);
        addListChanges(
                team,
                "publishes",
                previous.services().stream().map(Contract.Service::name).toList(),
                updated.services().stream().map(Contract.Service::name).toList(),
                lines);
    }

    private static void addListChanges(
            String team,
            String verb,
            List<String> previous,
            List<String> updated,
            List<String> lines) {
        for (String service : previous) {
            if (!updated.contains(service)) {
                lines.add(team + verb + " " + service + " no more");
            }
        }
        for (String service : updated) {
            if (!previous.contains(service)) {
                lines.add(team + verb + " " + service);
            }
        }
    }

    /** Returns the fraction of idle capacity that a team gets if all teams want some, 0 to 1. */
    private double idleFraction(Contract contract) {
        double sum =
                byTeam.values().stream().mapToDouble(other -> other.guarantee().weight()).sum();
        return sum == 0 ? 0 : contract.guarantee().weight() / sum;
    }
}
