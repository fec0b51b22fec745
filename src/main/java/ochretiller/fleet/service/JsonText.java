package ochretiller.fleet.service;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;

/** Builds JSON objects as strings, for responses to admin commands. */
final class JsonText {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonText() {}

    /** Writes the members of the object. */
    @FunctionalInterface
    interface MemberWriter {
        void write(JsonGenerator generator) throws IOException;
    }

    static String object(MemberWriter members) {
        StringWriter out = new StringWriter(1024);
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            generator.writeStartObject();
            members.write(generator);
            generator.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // cannot occur when writing to memory
        }
        return out.toString();
    }
}
