package ochretiller;

import java.util.Arrays;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import ochretiller.node.LoggingSetup;

/**
 * The packaged program with an {@link Error} injected: the thread that logs a message that starts
 * with the first argument fails. The other arguments are those of the program.
 */
final class FailingServer {
    /** Referenced for the life of the process, since the log manager does not keep loggers. */
    private static final Logger LOGGER = setUpLogging();

    private FailingServer() {}

    private static Logger setUpLogging() {
        LoggingSetup.install();
        return Logger.getLogger("ochretiller");
    }

    public static void main(String[] arguments) {
        LOGGER.addHandler(new FailingHandler(arguments[0]));
        Main.main(Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private static final class FailingHandler extends Handler {
        private final String messageStart;

        FailingHandler(String messageStart) {
            this.messageStart = messageStart;
        }

        @Override
        public void publish(LogRecord record) {
            if (record.getMessage().startsWith(messageStart)) {
                throw new StackOverflowError("injected");
            }
        }

        @Override
        public void flush() {
            // nothing is buffered
        }

        @Override
        public void close() {
            // nothing is open
        }
    }
}
