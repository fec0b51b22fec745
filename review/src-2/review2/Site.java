package review2;

/** Configurations of small deployments, with the figures of the users' briefs. */
final class Site {
    private Site() {}

    /** An operation: name, effect, latency objective, client timeout, value, late value, window. */
    static String operation(
            String name, String effect, int aimMs, int giveUpMs, int value, String lateValue,
            int windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"aimNs\":" + aimMs
                + "000000,\"giveUpNs\":" + giveUpMs + "000000,\"importance\":" + value
                + ",\"lateValue\":" + lateValue + ",\"windowNs\":" + windowMs + "000000}";
    }

    /** The operations of etna-parts-main. */
    static String etnaOperations() {
        return operation("stock-price", "pure", 1400, 3400, 1, "0", 5000) + ","
                + operation("fit-check", "pure", 2300, 5800, 2, "0", 5000) + ","
                + operation("place-order", "token", 2300, 5800, 3, "0.2", 17364);
    }

    /** A configuration; the ports of what does not exist are 0 and left out. */
    static String config(
            String name, int port, int processor, int records, int roster, int sockets, int cpus,
            String operations, String callsByClass) {
        String recordsMember =
                records == 0 ? "" : "\"records\":\"" + Harness.HOST + ":" + records + "\",";
        return "{\"name\":\"" + name + "\",\"listen\":\"" + Harness.HOST + ":" + port + "\","
                + "\"processor\":\"" + Harness.HOST + ":" + processor + "\"," + recordsMember
                + "\"roster\":\"" + Harness.HOST + ":" + roster + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"stop_ms\":3200,\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                + sockets + "},\n\"settings\":{\"classes\":[" + operations + "],"
                + "\"familyInfo\":{\"cpus\":" + cpus + ",\"memoryKb\":96744.0,\"keyKb\":184.5,"
                + "\"runFactor\":16.0,\"callers\":3,\"callsOut\":7.5,\"callsByClass\":["
                + callsByClass + "],\"degradedWorth\":[0,0,0],\"shareSpanNs\":5000000000,"
                + "\"staysForNs\":200000000,\"meters\":[\"core_use\",\"on_cores\",\"heap_share\","
                + "\"links\"],\"idleNs\":15000000000,\"halt\":\"abort\",\"advert\":\"window\","
                + "\"tellsGone\":true,\"freshNs\":0},\"peersTotal\":10,"
                + "\"permissions\":{\"retryAfter\":true,\"maxRetryAfterNs\":1000000000},"
                + "\"guarantees\":{\"stopSendingWithinNs\":2500000000,\"fallMultiple\":8.0,"
                + "\"fallNs\":1500000000,\"answerSlackNs\":100000000,\"coldNs\":16000000000,"
                + "\"coldShare\":0.27}}}";
    }
}
