package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Runs that make two calls, and replies of the records service that come twice. */
final class SecondCopy {
    private static final int ORDERS = 10;

    private SecondCopy() {}

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments[0], SecondCopy::play);
    }

    private static int play() throws Exception {
        Processor processor = new Processor();
        processor.workMs = 150;
        processor.calls = Map.of("place-order", List.of("call 1", "call 2"));
        Records records = new Records();
        records.workMs = 40;
        int port = Harness.freePort();
        String config =
                Site.config(
                        "n1", port, processor.port(), records.port(), Harness.startRoster(), 512,
                        2, Site.etnaOperations(), "true,false,true");
        Harness.startServer("n1", port, config, null);
        Thread.sleep(1_500);
        Gateway gateway = new Gateway(port, 1);
        List<Harness.Request> all = new ArrayList<>();
        records.copyAfterMs = 25;
        for (int i = 0; i < ORDERS; i++) {
            records.copiesLeft = Harness.TROUBLE ? 1 : 0;
            all.add(gateway.send("place-order", Harness.hex(32), "order " + i, "order " + i));
            Thread.sleep(700);
        }
        Thread.sleep(2_000);
        Harness.recordLog("n1");
        int wrong = 0;
        for (String reply : processor.replies) {
            String[] words = reply.split(" ", 3);
            if (!words[2].equals("reply to call " + words[1])) {
                wrong++;
                Harness.record("WRONG REPLY: call " + words[1] + " of run " + words[0] + " got \""
                        + words[2] + "\"");
            }
        }
        long served = all.stream().filter(r -> ("" + r.answer).startsWith("served")).count();
        Harness.record(served + " of " + ORDERS + " orders served, " + processor.replies.size()
                + " calls answered, " + wrong + " with another call's reply");
        return wrong > 0 ? Harness.BROKEN : Harness.HELD;
    }
}
