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
 * Sets up logging so that it still works during shutdown; the JDK's log manager closes all handlers
 * as soon as the process receives SIGTERM.
 */
public final class LoggingSetup {
    private static final String TEXT_FORMAT = "%1$tFT%1$tT.%1$tLZ %4$s %5$s%6$s%n";
    private static final int INITIAL_LINE_CHARS = 200;

    private LoggingSetup() {}

    /** Sets the log manager and the text format. To be called before the first use of a logger. */
    public static void install() {
        // The manager must be a class of its own; this one would be initialized too late.
        System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", TEXT_FORMAT);
    }

    /**
     * Switches all handlers of the root logger to one JSON object a line, with the fields {@code
     * at}, {@code level}, {@code part}, {@code message} and, for exceptions, {@code trace}.
     */
    public static void useJsonFormat() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new JsonFormatter());
        }
    }

    /** A log manager that never closes its handlers. The JDK instantiates it by name. */
    public static final class NonResettingLogManager extends LogManager {
        @Override
        public void reset() {
            // handlers stay open until the process exits
        }
    }

    private static final class JsonFormatter extends Formatter {
        private final JsonFactory json = new JsonFactory();

        @Override
        public String format(LogRecord entry) {
            StringWriter out = new StringWriter(INITIAL_LINE_CHARS);
            try (JsonGenerator line = json.createGenerator(out)) {
                line.writeStartObject();
                line.writeStringField("at", entry.getInstant().toString());
                line.writeStringField("level", entry.getLevel().getName());
                line.writeStringField("part", part(entry));
                line.writeStringField("message", formatMessage(entry));
                if (entry.getThrown() != null) {
                    line.writeStringField("trace", stackTrace(entry.getThrown()));
                }
                line.writeEndObject();
            } catch (IOException e) {
                throw new IllegalStateException("unexpected I/O error of an in-memory writer", e);
            }
            return out.append('\n').toString();
        }

        private static String part(LogRecord entry) {
            String name = entry.getLoggerName() == null ? "" : entry.getLoggerName();
            return name.substring(name.lastIndexOf('.') + 1);
        }

        private static String stackTrace(Throwable thrown) {
            StringWriter trace = new StringWriter();
            thrown.printStackTrace(new PrintWriter(trace));
            return trace.toString();
        }
    }
}
