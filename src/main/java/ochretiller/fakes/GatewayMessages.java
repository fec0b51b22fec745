package ochretiller.fakes;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Messages that gateways send, and a server configuration with the operations they name. */
public final class GatewayMessages {
    private GatewayMessages() {}

    /** Returns a line with a JSON-RPC request; {@code params} is a JSON value. */
    public static String message(long id, String method, String params) {
        return "{\"jsonrpc\":\"2.0\",\"id\":"
                + id
                + ",\"method\":\""
                + method
                + "\",\"params\":"
                + params
                + "}\n";
    }

    /** Returns the parameters of a request that arrived now; a null token makes it unkeyed. */
    public static String params(String rid, String token, String body) {
        return params(rid, System.currentTimeMillis(), token, body);
    }

    /** Returns the parameters of a request that arrived at {@code t0}, in Unix milliseconds. */
    public static String params(String rid, long t0, String token, String body) {
        return "{\"rid\":\""
                + rid
                + "\",\"t0\":"
                + t0
                + ",\"peer\":4,\"mem\":24.5,\"prio\":0.5,"
                + (token == null ? "" : "\"token\":\"" + token + "\",")
                + "\"data\":\""
                + base64(body)
                + "\"}";
    }

    /** Encodes a text in ISO 8859-1 as Base64. */
    public static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Returns the configuration of a server that listens on and connects to these ports, with the
     * operations {@code read}, which is pure, and {@code order}, which is keyed.
     */
    public static String config(int listen, int processor, int records, int roster) {
        return """
        {"name":"n1","listen":"127.0.0.1:%d","processor":"127.0.0.1:%d","records":"127.0.0.1:%d",
         "roster":"127.0.0.1:%d","seed":"8c1f30d27a5be964","stop_ms":2000,
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "settings":{"classes":[
           {"name":"read","effect":"pure","aimNs":2000000000,"giveUpNs":4000000000,"importance":1},
           {"name":"order","effect":"token","aimNs":2000000000,"giveUpNs":4000000000,"importance":3,
            "windowNs":10000000000}],
          "familyInfo":{"cpus":2,"memoryKb":50000,"runFactor":10,"keyKb":10,"callsOut":4,
           "callsByClass":[true,true],"degradedWorth":[0,0],"meters":["core_use","on_cores","heap_share","links"],
           "idleNs":2000000000,"halt":"abort","advert":"window","callers":2,"shareSpanNs":1000000000},
          "guarantees":{"fallMultiple":5,"stopSendingWithinNs":800000000},"unknown":{"more":[1,{}]},
          "permissions":{"retryAfter":true,"maxRetryAfterNs":1000000000}}}
        """
                .formatted(listen, processor, records, roster);
    }
}
