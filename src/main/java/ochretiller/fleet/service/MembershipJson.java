package ochretiller.fleet.service;

import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.transport.PeerSocket;
import ochretiller.fleet.transport.RejectReason;

/** Encodes the membership view as JSON for admin commands. */
final class MembershipJson {
    private MembershipJson() {}

    static String viewJson(String fleetName, MembershipProtocol protocol, PeerSocket socket) {
        return JsonText.object(
                out -> {
                    out.writeStringField("fleet", fleetName);
                    out.writeStringField("digest", Long.toHexString(protocol.digest()));
                    out.writeNumberField("doubt", protocol.localHealthScore());
                    out.writeNumberField("news", protocol.pendingGossipCount());
                    out.writeNumberField("sent_bytes", socket.traffic().sentBytes());
                    out.writeNumberField("read_bytes", socket.traffic().receivedBytes());
                    out.writeObjectFieldStart("refused");
                    for (RejectReason reason : RejectReason.values()) {
                        if (socket.rejectedCount(reason) > 0) {
                            out.writeNumberField(
                                    reason.lowerCaseName(), socket.rejectedCount(reason));
                        }
                    }
                    out.writeEndObject();
                    out.writeArrayFieldStart("members");
                    for (MemberSnapshot snapshot : protocol.snapshot()) {
                        out.writeStartObject();
                        out.writeStringField("name", snapshot.member().id().name());
                        out.writeStringField(
                                "start", Long.toHexString(snapshot.member().incarnation()));
                        out.writeStringField("state", snapshot.member().state().externalName());
                        out.writeStringField("address", snapshot.member().address().toString());
                        out.writeStringField("zone", snapshot.member().zone());
                        out.writeStringField("build", snapshot.member().build());
                        if (snapshot.member().serviceAddress().isPresent()) {
                            out.writeStringField(
                                    "serves", snapshot.member().serviceAddress().get().toString());
                        }
                        out.writeNumberField("number", snapshot.member().stateVersion());
                        out.writeNumberField("for_ms", snapshot.timeInState().toMillis());
                        out.writeBooleanField("self", snapshot.isSelf());
                        out.writeEndObject();
                    }
                    out.writeEndArray();
                });
    }
}
