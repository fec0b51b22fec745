package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * The work of a box hangs for a while. Gateways send several tries of an order meanwhile, and the
 * box hears of some of the tries that they have given up late, and of others not at all.
 */
final class LateGiveUps {
    private static final int HANG_MS = 13_000;
    private static final int DUE_MS = 5_800;
    /** 100 ms of the site and 50 ms of the protocol page. */
    private static final int SLACK_MS = 150;

    private LateGiveUps() {}

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments[0], LateGiveUps::play);
    }

    private static int play() throws Exception {
        Processor processor = new Processor();
        int port = Harness.freePort();
        String config =
                Site.config(
                        "n1", port, processor.port(), 0, Harness.startRoster(), 512, 2,
                        Site.etnaOperations(), "false,false,false");
        Harness.startServer("n1", port, config, null);
        Thread.sleep(1_500);
        Gateway first = new Gateway(port, 1);
        Gateway second = new Gateway(port, 2);
        List<Harness.Request> all = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            all.add(first.send("fit-check", null, "warm " + i, "warm-up " + i));
            Thread.sleep(300);
        }

        long start = Harness.millis();
        processor.hangs = Harness.TROUBLE;
        Harness.record(Harness.TROUBLE ? "the work of the box hangs" : "no hang");
        String order1 = Harness.hex(32);
        String order2 = Harness.hex(32);
        String order3 = Harness.hex(32);
        String order4 = Harness.hex(32);
        all.add(first.send("place-order", order1, "order 1", "order 1, try 1"));
        all.add(second.send("place-order", order2, "order 2", "order 2, try 1"));

        // Orders 3 and 4 come by a hasty gateway: it waits 0.7 s for a try. The box hears late of
        // the tries 1 and 3 that were given up, and never of the tries 2.
        Harness.Request o3 = send(first, all, start + 200, order3, "order 3, try 1");
        Harness.Request o4 = send(second, all, start + 500, order4, "order 4, try 1");
        send(first, all, start + 900, order3, "order 3, try 2");
        send(second, all, start + 1_200, order4, "order 4, try 2");
        Harness.Request x3 = send(first, all, start + 1_600, order3, "order 3, try 3");
        giveUp(first, o3, start + 1_700);
        Harness.Request x4 = send(second, all, start + 1_900, order4, "order 4, try 3");
        giveUp(second, o4, start + 2_000);
        giveUp(first, x3, start + 2_350);
        giveUp(second, x4, start + 2_650);
        send(first, all, start + 3_600, order1, "order 1, try 2");
        Harness.sleepUntil(start + HANG_MS);
        processor.hangs = false;
        Harness.record("the work goes on");
        Thread.sleep(3_000);
        Harness.recordLog("n1");
        return judge(all);
    }

    /** Sends a try of an order, unless one of its tries was answered. */
    private static Harness.Request send(
            Gateway gateway, List<Harness.Request> all, long at, String token, String label)
            throws Exception {
        Harness.sleepUntil(at);
        for (Harness.Request earlier : all) {
            if (token.equals(earlier.token) && earlier.answer != null) {
                return earlier;
            }
        }
        Harness.Request request =
                gateway.send("place-order", token, label.substring(0, 7), label);
        all.add(request);
        return request;
    }

    private static void giveUp(Gateway gateway, Harness.Request request, long at)
            throws Exception {
        Harness.sleepUntil(at);
        if (request.answer == null) {
            gateway.abort(request);
        }
    }

    private static int judge(List<Harness.Request> all) {
        int lost = 0;
        for (Harness.Request request : all) {
            boolean inTime =
                    request.answer != null
                            && request.answeredAt - request.writtenAt <= DUE_MS + SLACK_MS;
            if (!request.givenUp && !inTime) {
                lost++;
                Harness.record("LOST: " + request.label + " has no answer in its time");
            }
        }
        return lost > 0 ? Harness.BROKEN : Harness.HELD;
    }
}
