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
 * @param capacity core seconds a second that it can have done
 */
public record Contracts(double capacity, Map<TeamId, Contract> byTeam) {
    /** A sum of promises may pass the capacity by what rounding leaves. */
    private static final double ROUNDING = 1e-9;

    public static Contracts of(double capacity, List<Contract> contracts) {
        Map<TeamId, Contract> byTeam = new LinkedHashMap<>();
        for (Contract each : contracts) {
            byTeam.put(each.team(), each);
        }
        return new Contracts(capacity, byTeam);
    }

    /** What each team is promised, as budgets want it. */
    public Map<TeamId, GuaranteedRate> promises() {
        Map<TeamId, GuaranteedRate> promises = new LinkedHashMap<>();
        byTeam.forEach((team, contract) -> promises.put(team, contract.promise()));
        return promises;
    }

    /** Core seconds a second that are promised to all together. */
    public double promised() {
        return byTeam.values().stream().mapToDouble(each -> each.promise().rate()).sum();
    }

    private Map<String, Contract> publishers() {
        Map<String, Contract> publishers = new TreeMap<>();
        for (Contract contract : byTeam.values()) {
            for (Contract.Service each : contract.publishes()) {
                publishers.put(each.name(), contract);
            }
        }
        return publishers;
    }

    /** What is wrong with them as a whole, a line each; none is good unless all are. */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        double sum = promised();
        if (sum > capacity * (1 + ROUNDING)) {
            faults.add(
                    String.format(
                            Locale.ROOT,
                            "promises of %.3f core seconds a second are over the capacity of %.3f",
                            sum,
                            capacity));
        }
        published(faults);
        known(faults);
        Map<String, Contract> publishers = publishers();
        for (Contract contract : byTeam.values()) {
            calls(contract, publishers, faults);
        }
        circles(publishers, faults);
        return faults;
    }

    private void published(List<String> faults) {
        Map<String, TeamId> first = new HashMap<>();
        for (Contract contract : byTeam.values()) {
            for (Contract.Service each : contract.publishes()) {
                TeamId other = first.putIfAbsent(each.name(), contract.team());
                if (other != null) {
                    faults.add(
                            "service "
                                    + each.name()
                                    + " is published by "
                                    + other
                                    + " and by "
                                    + contract.team());
                }
            }
        }
    }

    /**
     * Whom an address belongs to must be certain: prefixes of two teams may not lie in one another.
     */
    private void known(List<String> faults) {
        List<AddressPrefix> prefixes = new ArrayList<>();
        List<TeamId> owners = new ArrayList<>();
        for (Contract contract : byTeam.values()) {
            for (String text : contract.known()) {
                AddressPrefix prefix = AddressPrefix.of(text);
                if (prefix == null) {
                    faults.add(contract.team() + ": '" + text + "' is no address or prefix");
                    continue;
                }
                for (int i = 0; i < prefixes.size(); i++) {
                    if (owners.get(i).equals(contract.team()) || !prefixes.get(i).meets(prefix)) {
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

    private static void calls(
            Contract contract, Map<String, Contract> publishers, List<String> faults) {
        Set<String> seen = new LinkedHashSet<>();
        for (Contract.Call call : contract.calls()) {
            String of = contract.team() + " calls " + call.service();
            if (!seen.add(call.service())) {
                faults.add(of + " twice");
            }
            Contract publisher = publishers.get(call.service());
            if (publisher == null) {
                faults.add(of + ", which nobody publishes");
                continue;
            }
            if (call.objective().compareTo(call.timeout()) > 0) {
                faults.add(of + " with an objective behind its timeout");
            }
            for (Contract.Service service : publisher.publishes()) {
                if (service.name().equals(call.service())
                        && service.objective().compareTo(call.objective()) > 0) {
                    faults.add(
                            of
                                    + " within "
                                    + call.objective().toMillis()
                                    + " ms, which promises "
                                    + service.objective().toMillis()
                                    + " ms: no route can meet that");
                }
            }
        }
        double work = contract.calls().stream().mapToDouble(Contract.Call::work).sum();
        if (work > contract.promise().rate() * (1 + ROUNDING)) {
            faults.add(
                    String.format(
                            Locale.ROOT,
                            "%s expects to cause %.3f core seconds a second and is promised %.3f",
                            contract.team(),
                            work,
                            contract.promise().rate()));
        }
    }

    /**
     * A service that calls itself over others would hold places while it waits for them: each
     * circle is told once, from its first name.
     */
    private static void circles(Map<String, Contract> publishers, List<String> faults) {
        Map<String, Set<String>> next = new TreeMap<>();
        publishers.forEach(
                (service, contract) -> {
                    Set<String> called = new TreeSet<>();
                    for (Contract.Call call : contract.calls()) {
                        called.add(call.service());
                    }
                    next.put(service, called);
                });
        Set<String> done = new LinkedHashSet<>();
        for (String service : next.keySet()) {
            walk(service, next, new ArrayList<>(), done, faults);
        }
    }

    private static void walk(
            String at,
            Map<String, Set<String>> next,
            List<String> way,
            Set<String> done,
            List<String> faults) {
        int met = way.indexOf(at);
        if (met >= 0) {
            List<String> circle = new ArrayList<>(way.subList(met, way.size()));
            circle.add(at);
            faults.add("services call one another in a circle: " + String.join(" -> ", circle));
            return;
        }
        if (done.contains(at) || !next.containsKey(at)) {
            return;
        }
        way.add(at);
        for (String called : next.get(at)) {
            walk(called, next, way, done, faults);
        }
        way.remove(way.size() - 1);
        done.add(at);
    }

    /**
     * What going over to {@code to} would do to each team, a line each; nothing for those whom it
     * does not touch.
     */
    public List<String> changes(Contracts to) {
        List<String> lines = new ArrayList<>();
        if (capacity != to.capacity) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "capacity %.3f -> %.3f core seconds a second",
                            capacity,
                            to.capacity));
        }
        Set<TeamId> all = new LinkedHashSet<>(byTeam.keySet());
        all.addAll(to.byTeam.keySet());
        for (TeamId team : all) {
            Contract old = byTeam.get(team);
            Contract now = to.byTeam.get(team);
            if (old == null) {
                lines.add(team + " comes, promised " + shown(now.promise().rate()));
            } else if (now == null) {
                lines.add(
                        team
                                + " goes: what it asks from then on is refused, what was read is"
                                + " answered");
            } else {
                changes(old, now, to, lines);
            }
        }
        return lines;
    }

    private static String shown(double rate) {
        return String.format(Locale.ROOT, "%.3f core seconds a second", rate);
    }

    private void changes(Contract old, Contract now, Contracts to, List<String> lines) {
        String team = old.team() + " ";
        if (!old.equals(now) && now.version() <= old.version()) {
            lines.add(
                    team
                            + "changes without a higher version: "
                            + old.version()
                            + " -> "
                            + now.version());
        }
        if (old.promise().rate() != now.promise().rate()) {
            lines.add(
                    team
                            + "promised "
                            + shown(old.promise().rate())
                            + " -> "
                            + shown(now.promise().rate()));
        }
        double oldPart = part(old);
        double newPart = to.part(now);
        if (Math.abs(oldPart - newPart) > 0.0005) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%shas %.3f -> %.3f of what is idle where all want it",
                            team,
                            oldPart,
                            newPart));
        }
        if (old.promise().burst() != now.promise().burst()) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%sburst %.3f -> %.3f core seconds",
                            team,
                            old.promise().burst(),
                            now.promise().burst()));
        }
        if (old.promise().retryShare() != now.promise().retryShare()) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%sretries %.3f -> %.3f of first tries",
                            team,
                            old.promise().retryShare(),
                            now.promise().retryShare()));
        }
        named(
                team,
                "calls",
                old.calls().stream().map(Contract.Call::service).toList(),
                now.calls().stream().map(Contract.Call::service).toList(),
                lines);
        named(
                team,
                "publishes",
                old.publishes().stream().map(Contract.Service::name).toList(),
                now.publishes().stream().map(Contract.Service::name).toList(),
                lines);
    }

    private static void named(
            String team, String does, List<String> old, List<String> now, List<String> lines) {
        for (String each : old) {
            if (!now.contains(each)) {
                lines.add(team + does + " " + each + " no more");
            }
        }
        for (String each : now) {
            if (!old.contains(each)) {
                lines.add(team + does + " " + each);
            }
        }
    }

    private double part(Contract contract) {
        double all = byTeam.values().stream().mapToDouble(each -> each.promise().weight()).sum();
        return all == 0 ? 0 : contract.promise().weight() / all;
    }
}
