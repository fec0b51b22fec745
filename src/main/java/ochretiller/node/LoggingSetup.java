package ochretiller.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Logging that goes on through the drain: the standard manager closes all handlers as soon as
 * SIGTERM comes.
 */
public final class LoggingSetup {
    private LoggingSetup() {}

    /**
     * To be called before anything is logged; this class must not itself be a manager, or it would
     * come too late.
     */
    public static void install() {
        System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
        System.setProperty(
                "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tLZ %4$s %5$s%6$s%n");
    }

    /**
     * From here on each line is one JSON object: {@code at}, {@code level}, {@code part}, {@code
     * message}, {@code trace}.
     */
    public static void useJsonFormat() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new JsonFormatter());
        }
    }

    /** Found by its name. */
    public static final class NonResettingLogManager extends LogManager {
        @Override
        public void reset() {
            // Nothing is taken down: the process ends by itself once the drain is over.
        }
    }

    private static final class JsonFormatter extends Formatter {
        private final JsonFactory json = new JsonFactory();

        @Override
        public String format(LogRecord entry) {
            StringWriter out = new StringWriter(200);
            try (JsonGenerator line = json.createGenerator(out)) {
                line.writeStartObject();
                line.writeStringField("at", entry.getInstant().toString());
                line.writeStringField("level", entry.getLevel().getName());
                String name = entry.getLoggerName() == null ? "" : entry.getLoggerName();
                line.writeStringField("part", name.substring(name.lastIndexOf('.') + 1));
                line.writeStringField("message", formatMessage(entry));
                if (entry.getThrown() != null) {
                    StringWriter trace = new StringWriter();
                    entry.getThrown().printStackTrace(new PrintWriter(trace));
                    line.writeStringField("trace", trace.toString());
                }
                line.writeEndObject();
            } catch (IOException e) {
                throw new IllegalStateException(e); // a writer in memory does not fail
            }
            return out.append('\n').toString();
        }
    }
}
