package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One server of a fleet is told to leave: orders that it carries out then have no answer. */
final class LostAtDrain {
    private static final int SERVERS = 6;
    private static final int LEAVING = SERVERS - 1;
    private static final int ORDERS = 5;
    private static final long FORMATION_MILLIS = 60_000;

    /** 280 to 480 ms of work, on a core of 0.5 to 0.7 of the usual speed. */
    private static final long WORK_MILLIS = 700;

    private static final long NOTICE_AFTER_MILLIS = 300;
    private static final long STOP_MILLIS = 3_200;
    private static final long CLIENT_TIMEOUT_MILLIS = 5_800;
    private static final long SLACK_MILLIS = 150;

    private final Record record;
    private final World world = new World();
    private final Lab lab;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> fleetPorts = new ArrayList<>();
    private final List<Processor> processors = new ArrayList<>();
    private final List<CallService> records = new ArrayList<>();
    private final List<Process> servers = new ArrayList<>();
    private int lastOrder;

    private LostAtDrain(Record record, Lab lab) {
        this.record = record;
        this.lab = lab;
    }

    public static void main(String[] words) {
        Case.main(
                words,
                (record, trouble) -> {
                    try (Lab lab = new Lab()) {
                        LostAtDrain test = new LostAtDrain(record, lab);
                        try {
                            return test.run(trouble);
                        } finally {
                            lab.copyLog(test.name(LEAVING), record);
                        }
                    }
                });
    }

    private int run(boolean trouble) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            ports.add(Lab.freePort());
            fleetPorts.add(Lab.freePort());
            processors.add(new Processor(world, record, WORK_MILLIS, 1));
            records.add(new CallService(record));
        }
        for (int i = 0; i < SERVERS; i++) {
            start(i);
        }
        for (int i = 0; i < SERVERS; i++) {
            Lab.awaitReady(ports.get(i), servers.get(i), world, record);
        }
        if (!awaitFormation()) {
            return 2;
        }
        Process leaving = servers.get(LEAVING);
        Gateway gateway = gateway(LEAVING);
        List<World.Try> orders = new ArrayList<>();
        List<CompletableFuture<Gateway.Answer>> answers = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < ORDERS; i++) {
            orders.add(order());
            answers.add(gateway.send(orders.get(i), 24.5));
        }
        Case.at(start, NOTICE_AFTER_MILLIS);
        if (trouble) {
            record.add("TROUBLE: " + name(LEAVING) + " is told to leave (SIGTERM), SIGKILL comes " + STOP_MILLIS + " ms later");
            leaving.destroy();
            if (!leaving.waitFor(STOP_MILLIS, TimeUnit.MILLISECONDS)) {
                record.add(name(LEAVING) + " is killed");
                leaving.destroyForcibly();
            }
        }
        int unanswered = 0;
        for (int i = 0; i < ORDERS; i++) {
            boolean isAnswered = isAnswered(answers.get(i), start);
            unanswered += isAnswered ? 0 : 1;
            record.add(orders.get(i).name + (hasRun(orders.get(i)) ? " was carried out" : " was not carried out")
                    + (isAnswered ? " and has its answer" : " and has NO ANSWER"));
        }
        record.add("orders without an answer: " + unanswered + " of " + ORDERS);
        return unanswered == 0 ? 0 : 1;
    }

    /** Returns whether a result or an error comes within the client timeout. */
    private static boolean isAnswered(CompletableFuture<Gateway.Answer> answer, long start)
            throws InterruptedException, ExecutionException {
        long due = start + (CLIENT_TIMEOUT_MILLIS + SLACK_MILLIS) * 1_000_000;
        try {
            Gateway.Answer got = answer.get(Math.max(0, due - System.nanoTime()), TimeUnit.NANOSECONDS);
            return got.isResult() || got.code() != 0;
        } catch (TimeoutException e) {
            return false;
        }
    }

    private boolean hasRun(World.Try order) {
        return processors.get(LEAVING).begun().stream().anyMatch(run -> run.of == order && run.isEnded);
    }

    private String name(int index) {
        return "n" + (index + 1);
    }

    private Gateway gateway(int index) throws Exception {
        return new Gateway(1, ports.get(index), world, record, processors.get(index)::onOver);
    }

    private World.Try order() {
        lastOrder++;
        return new World.Try("order " + lastOrder, String.format("9b1f03aa%08x", lastOrder), "place-order",
                String.format("5c0f6e1a2b3d4c59a8b7c6d5%08x", lastOrder), ("order " + lastOrder).getBytes());
    }

    /** Waits until the servers have served two orders each, without a failure between: the fleet has formed. */
    private boolean awaitFormation() throws Exception {
        long end = System.nanoTime() + FORMATION_MILLIS * 1_000_000;
        int served = 0;
        while (served < 2 * SERVERS && System.nanoTime() < end) {
            int index = served % SERVERS;
            try (Gateway gateway = gateway(index)) {
                served = gateway.send(order(), 24.5).get(8, TimeUnit.SECONDS).isResult() ? served + 1 : 0;
            }
            Thread.sleep(served == 0 ? 300 : 0);
        }
        record.add(served < 2 * SERVERS ? "the fleet has not formed" : "the fleet has formed");
        return served >= 2 * SERVERS;
    }

    private void start(int index) throws Exception {
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
                  fleet: { name: 'parts', listen: '127.0.0.1:%d', key_file: '%s', seeds: [%s],
                    copies: { voters: ['n1', 'n2', 'n3'], voter_file: '%s', calm_ms: 1000 } },
                }
                """
                        .formatted(fleetPorts.get(index), key, String.join(", ", seeds), folder.resolve("voter")));
        servers.add(lab.startServer(name(index), config(index), operator, "127.0.0.1:" + ports.get(index)));
    }

    private String config(int index) throws Exception {
        return """
            {"name":"%s","listen":"127.0.0.1:%d","processor":"127.0.0.1:%d","records":"127.0.0.1:%d","roster":"127.0.0.1:%d",
             "seed":"8c1f30d27a5be96%d","stop_ms":%d,"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
             "settings":{"classes":[
              {"name":"stock-price","effect":"pure","aimNs":1400000000,"giveUpNs":3400000000,"importance":1.0,"lateValue":0.0,"windowNs":5000000000},
              {"name":"place-order","effect":"token","aimNs":2300000000,"giveUpNs":5800000000,"importance":3.0,"lateValue":0.2,"windowNs":17364000000}],
             "familyInfo":{"cpus":6,"memoryKb":96744.0,"keyKb":34.5,"runFactor":16.0,"callsByClass":[true,true],"degradedWorth":[0.0,0.0],
              "below":"shared","callsOut":7.5,"shareSpanNs":5000000000,"staysForNs":200000000,
              "meters":["core_use","on_cores","heap_share","links"],"idleNs":15000000000,"halt":"abort","advert":"window","heededNs":1000000000,"callers":3,
              "freshNs":0,"tellsGone":true,"passesDeadline":false},
             "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000},
             "guarantees":{"stopSendingWithinNs":2500000000,"answerSlackNs":100000000,"fallMultiple":8.0,"fallNs":1500000000,
              "coldShare":0.27,"coldNs":16000000000}}}
            """
                .formatted(name(index), ports.get(index), processors.get(index).port(), records.get(index).port(),
                        Lab.freePort(), index, STOP_MILLIS);
    }
}
