package ochretiller.fleet.service;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;

/** An object of JSON as text, as the operators' commands read it. */
final class JsonText {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonText() {}

    /** What is in the object. */
    @FunctionalInterface
    interface Members {
        void to(JsonGenerator out) throws IOException;
    }

    static String object(Members members) {
        StringWriter out = new StringWriter(1024);
        try (JsonGenerator to = JSON.createGenerator(out)) {
            to.writeStartObject();
            members.to(to);
            to.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a writer in memory does not fail
        }
        return out.toString();
    }
}
