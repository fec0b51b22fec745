package ochretiller.fleet.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.rollout.VersionReport;

/** Encodes the rollout status as JSON for admin commands. Confined to the event loop. */
final class RolloutStatusJson {
    private final String serverName;
    private final VersionFollower follower;
    private final LeaseHolder leaseHolder;
    private final RolloutAcceptor acceptor;

    RolloutStatusJson(
            String serverName,
            VersionFollower follower,
            LeaseHolder leaseHolder,
            RolloutAcceptor acceptor) {
        this.serverName = serverName;
        this.follower = follower;
        this.leaseHolder = leaseHolder;
        this.acceptor = acceptor;
    }

    /** Returns the status of this server and, on an acceptor, of all reporting servers. */
    String status(RolloutState committed) {
        return JsonText.object(
                out -> {
                    out.writeStringField("name", serverName);
                    out.writeNumberField("acts", follower.active().number());
                    out.writeStringField("hash", follower.active().hash());
                    out.writeNumberField("version", committed.target().number());
                    out.writeNumberField("before", committed.previous().number());
                    out.writeStringField("why", committed.target().reason());
                    out.writeStringField("by", committed.target().publisher());
                    out.writeStringField("state", committed.phase().externalName());
                    out.writeNumberField("stage", committed.stage());
                    out.writeStringField("halted", acceptor.haltReason());
                    out.writeBooleanField("may", leaseHolder.isAllowedToServe());
                    out.writeNumberField(
                            "lease_left_ms", Math.max(0, leaseHolder.remaining().toMillis()));
                    out.writeStringField("refused", follower.rejection());
                    writeServers(out);
                });
    }

    private void writeServers(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("servers");
        for (Map.Entry<String, VersionReport> each : acceptor.reports().entrySet()) {
            out.writeObjectFieldStart(each.getKey());
            out.writeNumberField("acts", each.getValue().activeVersion());
            out.writeNumberField("read", each.getValue().candidate().answered());
            out.writeNumberField("refused", each.getValue().rejectedVersion());
            out.writeBooleanField("out", acceptor.isFenced(each.getKey()));
            out.writeEndObject();
        }
        out.writeEndObject();
    }
}
