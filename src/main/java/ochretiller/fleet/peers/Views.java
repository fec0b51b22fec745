package ochretiller.fleet.peers;

import ochretiller.fleet.members.Members;
import ochretiller.fleet.members.Seen;

/** A view as JSON, as the operators' commands read it. */
final class Views {
    private Views() {}

    static String json(String fleet, Members members, PeerSocket socket) {
        return JsonText.object(
                to -> {
                    to.writeStringField("fleet", fleet);
                    to.writeStringField("digest", Long.toHexString(members.digest()));
                    to.writeNumberField("doubt", members.doubt());
                    to.writeNumberField("news", members.news());
                    to.writeNumberField("sent_bytes", socket.sentBytes.sum());
                    to.writeNumberField("read_bytes", socket.readBytes.sum());
                    to.writeObjectFieldStart("refused");
                    for (Refused why : Refused.values()) {
                        if (socket.refused(why) > 0) {
                            to.writeNumberField(why.lowerCaseName(), socket.refused(why));
                        }
                    }
                    to.writeEndObject();
                    to.writeArrayFieldStart("members");
                    for (Seen seen : members.view()) {
                        to.writeStartObject();
                        to.writeStringField("name", seen.member().id().name());
                        to.writeStringField("start", Long.toHexString(seen.member().start()));
                        to.writeStringField("state", seen.member().state().externalName());
                        to.writeStringField("address", seen.member().address().toString());
                        to.writeStringField("zone", seen.member().zone());
                        to.writeStringField("build", seen.member().build());
                        if (seen.member().serves() != null) {
                            to.writeStringField("serves", seen.member().serves().toString());
                        }
                        to.writeNumberField("number", seen.member().number());
                        to.writeNumberField("for_ms", seen.age().toMillis());
                        to.writeBooleanField("self", seen.self());
                        to.writeEndObject();
                    }
                    to.writeEndArray();
                });
    }
}
