package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A server of a fleet gets a new configuration with SIGHUP, and acts on an old list of workers. */
final class StaleVersion {
    private static final int SERVERS = 3;
    private static final int ORDERS = 5;
    private static final long FORMATION_MILLIS = 40_000;

    private final Record record;
    private final World world = new World();
    private final Lab lab;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> fleetPorts = new ArrayList<>();
    private final List<Path> operators = new ArrayList<>();
    private final List<Processor> processors = new ArrayList<>();
    private final List<Process> servers = new ArrayList<>();
    private int lastOrder;

    private StaleVersion(Record record, Lab lab) {
        this.record = record;
        this.lab = lab;
    }

    public static void main(String[] words) {
        Case.main(
                words,
                (record, trouble) -> {
                    try (Lab lab = new Lab()) {
                        StaleVersion test = new StaleVersion(record, lab);
                        try {
                            return test.run(trouble);
                        } finally {
                            for (int i = 0; i < test.servers.size(); i++) {
                                lab.copyLog(test.name(i), record);
                            }
                        }
                    }
                });
    }

    private int run(boolean trouble) throws Exception {
        try (Worker old = new Worker("OLD", record);
                Worker next = new Worker("NEW", record)) {
            for (int i = 0; i < SERVERS; i++) {
                ports.add(Lab.freePort());
                fleetPorts.add(Lab.freePort());
            }
            for (int i = 0; i < SERVERS; i++) {
                start(i, old);
            }
            for (int i = 0; i < SERVERS; i++) {
                Lab.awaitReady(ports.get(i), servers.get(i), world, record);
            }
            for (int i = 0; i < SERVERS; i++) {
                if (!awaitServed(i)) {
                    return 2;
                }
            }
            if (!publish(next)) {
                return 2;
            }
            int before = old.carriedOut().size();
            order("before the new configuration");
            if (next.carriedOut().isEmpty() || old.carriedOut().size() > before) {
                record.add("the version is not acted on");
                return 2;
            }
            if (trouble) {
                record.add("TROUBLE: n2 gets a new configuration, with another address of the roster, and SIGHUP");
                Files.writeString(lab.folder.resolve(name(1) + ".json"), config(1));
                new ProcessBuilder("kill", "-HUP", "" + servers.get(1).pid()).start().waitFor();
                Thread.sleep(1_000);
            }
            order("behind it");
            List<String> stale = old.carriedOut().subList(before, old.carriedOut().size());
            fleet(1, "versions");
            record.add("orders that the removed worker has carried out: " + stale);
            return stale.isEmpty() ? 0 : 1;
        } finally {
            for (Processor processor : processors) {
                processor.close();
            }
        }
    }

    private String name(int index) {
        return "n" + (index + 1);
    }

    private void start(int index, Worker worker) throws Exception {
        processors.add(new Processor(world, record, 30, 0));
        Path folder = Files.createDirectory(lab.folder.resolve(name(index)));
        Path key = folder.resolve("key");
        Files.writeString(key, "a key that only this case has\n");
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            if (i != index) {
                seeds.add("'127.0.0.1:" + fleetPorts.get(i) + "'");
            }
        }
        Path operator = folder.resolve("operator.json5");
        Files.writeString(
                operator,
                """
                {
                  %s,
                  fleet: { name: 'parts', listen: '127.0.0.1:%d', key_file: '%s', seeds: [%s],
                    copies: { voters: ['n1', 'n2', 'n3'], voter_file: '%s', calm_ms: 1000,
                      versions: { folder: '%s', lease_ms: 5000, watch_ms: 1000 } } },
                }
                """
                        .formatted(pools(worker), fleetPorts.get(index), key, String.join(", ", seeds),
                                folder.resolve("voter"), folder.resolve("versions")));
        operators.add(operator);
        servers.add(lab.startServer(name(index), config(index), operator, "127.0.0.1:" + ports.get(index)));
    }

    private static String pools(Worker worker) {
        return "pools: { orders: { workers: ['" + worker.address()
                + "'], runs: [ { operation: 'place-order', path: '/orders' } ] } }";
    }

    /** Waits until orders are served, which they are once the fleet has formed. */
    private boolean awaitServed(int index) throws Exception {
        long end = System.nanoTime() + FORMATION_MILLIS * 1_000_000;
        while (System.nanoTime() < end) {
            if (send(index).isResult()) {
                return true;
            }
            Thread.sleep(500);
        }
        record.add(name(index) + " serves no order");
        return false;
    }

    private void order(String when) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            for (int n = 0; n < ORDERS; n++) {
                record.add("an order at " + name(i) + ", " + when);
                send(i);
            }
        }
    }

    private Gateway.Answer send(int index) throws Exception {
        lastOrder++;
        World.Try order =
                new World.Try("order " + lastOrder, String.format("9b1f03aa%08x", lastOrder), "place-order",
                        String.format("5c0f6e1a2b3d4c59a8b7c6d5%08x", lastOrder), ("order " + lastOrder).getBytes());
        try (Gateway gateway = new Gateway(1, ports.get(index), world, record, processors.get(index)::onOver)) {
            return gateway.send(order, 24.5).get(8, TimeUnit.SECONDS);
        }
    }

    /** Brings out a version in which the new worker stands in the place of the old one. */
    private boolean publish(Worker worker) throws Exception {
        Path version = lab.folder.resolve("version.json5");
        Files.writeString(version, "{ " + pools(worker) + " }");
        record.add("operator: publishes a version, in which the worker NEW stands in the place of OLD");
        return fleet(0, "publish", version.toString(), "--why", "the old worker is taken out", "--wait") == 0;
    }

    private int fleet(int index, String... words) throws Exception {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/ochretiller.jar", "fleet"));
        command.addAll(List.of(words));
        command.addAll(List.of("--operator", operators.get(index).toString()));
        Path out = lab.folder.resolve("fleet.out");
        Process process =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(out.toFile()).start();
        if (!process.waitFor(60, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            return -1;
        }
        Files.readAllLines(out).forEach(line -> record.add("fleet " + words[0] + " at " + name(index) + ": " + line));
        return process.exitValue();
    }

    private String config(int index) throws Exception {
        return """
            {"name":"%s","listen":"127.0.0.1:%d","processor":"127.0.0.1:%d","roster":"127.0.0.1:%d",
             "seed":"8c1f30d27a5be96%d","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"classes":[
              {"name":"stock-price","effect":"pure","aimNs":1400000000,"giveUpNs":3400000000,"importance":1.0,"lateValue":0.0,"windowNs":5000000000},
              {"name":"place-order","effect":"token","aimNs":2300000000,"giveUpNs":5800000000,"importance":3.0,"lateValue":0.2,"windowNs":17364000000}],
             "familyInfo":{"cpus":6,"memoryKb":96744.0,"keyKb":34.5,"runFactor":16.0,"callsByClass":[false,false],"degradedWorth":[0.0,0.0],
              "meters":["core_use","on_cores","heap_share","links"],"idleNs":15000000000,"halt":"abort","advert":"window","heededNs":1000000000,"callers":3,
              "freshNs":0,"tellsGone":true,"passesDeadline":false},
             "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000},
             "guarantees":{"stopSendingWithinNs":2500000000,"answerSlackNs":100000000,"fallMultiple":8.0,"fallNs":1500000000,
              "coldShare":0.27,"coldNs":16000000000}}}
            """
                .formatted(name(index), ports.get(index), processors.get(index).port(), Lab.freePort(), index);
    }
}
