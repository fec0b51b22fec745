package ochretiller.fleet.service;

import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.transport.PeerSocket;
import ochretiller.fleet.transport.RejectReason;

/** A view as JSON, as the operators' commands read it. */
final class MembershipJson {
    private MembershipJson() {}

    static String json(String fleet, MembershipProtocol members, PeerSocket socket) {
        return JsonText.object(
                to -> {
                    to.writeStringField("fleet", fleet);
                    to.writeStringField("digest", Long.toHexString(members.digest()));
                    to.writeNumberField("doubt", members.localHealthScore());
                    to.writeNumberField("news", members.pendingGossip());
                    to.writeNumberField("sent_bytes", socket.sentBytes.sum());
                    to.writeNumberField("read_bytes", socket.readBytes.sum());
                    to.writeObjectFieldStart("refused");
                    for (RejectReason why : RejectReason.values()) {
                        if (socket.refused(why) > 0) {
                            to.writeNumberField(why.lowerCaseName(), socket.refused(why));
                        }
                    }
                    to.writeEndObject();
                    to.writeArrayFieldStart("members");
                    for (MemberSnapshot seen : members.snapshot()) {
                        to.writeStartObject();
                        to.writeStringField("name", seen.member().id().name());
                        to.writeStringField("start", Long.toHexString(seen.member().incarnation()));
                        to.writeStringField("state", seen.member().state().externalName());
                        to.writeStringField("address", seen.member().address().toString());
                        to.writeStringField("zone", seen.member().zone());
                        to.writeStringField("build", seen.member().build());
                        if (seen.member().serviceAddress().isPresent()) {
                            to.writeStringField(
                                    "serves", seen.member().serviceAddress().get().toString());
                        }
                        to.writeNumberField("number", seen.member().stateVersion());
                        to.writeNumberField("for_ms", seen.timeInState().toMillis());
                        to.writeBooleanField("self", seen.isSelf());
                        to.writeEndObject();
                    }
                    to.writeEndArray();
                });
    }
}
