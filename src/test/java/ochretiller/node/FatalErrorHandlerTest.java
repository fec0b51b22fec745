package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks what the process does when one of its threads fails. */
class FatalErrorHandlerTest {
    private final Logger logger = Logger.getLogger(FatalErrorHandler.class.getName());
    private final List<Integer> exitCodes = new ArrayList<>();
    private final List<LogRecord> logRecords = new ArrayList<>();
    private final FatalErrorHandler handler = new FatalErrorHandler(exitCodes::add);
    private final RecordingHandler logHandler = new RecordingHandler();

    private final class RecordingHandler extends Handler {
        private boolean isMemoryExhausted;

        @Override
        public void publish(LogRecord record) {
            if (isMemoryExhausted) {
                throw new OutOfMemoryError("no memory for the log line");
            }
            logRecords.add(record);
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

    @BeforeEach
    void addLogHandler() {
        logger.addHandler(logHandler);
        logger.setUseParentHandlers(false);
    }

    @AfterEach
    void removeLogHandler() {
        logger.removeHandler(logHandler);
        logger.setUseParentHandlers(true);
    }

    private static int recurse(int depth) {
        return depth < 0 ? depth : recurse(depth + 1) + 1;
    }

    private static StackOverflowError stackOverflow() {
        try {
            throw new AssertionError("the recursion ended at " + recurse(0));
        } catch (StackOverflowError e) {
            return e;
        }
    }

    /** Guards against an exhausted stack whose cause the log does not show. */
    @Test
    void errorIsLoggedWithTheCycleOfItsStackAndEndsTheProcess() {
        handler.uncaughtException(new Thread("loop"), stackOverflow());
        assertThat(exitCodes).containsExactly(4);
        LogRecord logged = logRecords.get(0);
        assertThat(logged.getLevel()).isEqualTo(Level.SEVERE);
        assertThat(logged.getMessage()).contains("thread loop");
        assertThat(logged.getThrown().getStackTrace()).hasSize(64);
        assertThat(logged.getThrown().getStackTrace()[63].getMethodName()).isEqualTo("recurse");
    }

    @Test
    void processEndsThoughTheErrorCannotBeLogged() {
        logHandler.isMemoryExhausted = true;
        OutOfMemoryError error = new OutOfMemoryError("heap");
        assertThatThrownBy(() -> handler.uncaughtException(new Thread("loop"), error))
                .isInstanceOf(OutOfMemoryError.class)
                .hasMessage("no memory for the log line");
        assertThat(exitCodes).containsExactly(4);
    }

    @Test
    void exceptionIsLoggedAndTheProcessGoesOn() {
        handler.uncaughtException(new Thread("audit"), new IllegalStateException("once"));
        assertThat(exitCodes).isEmpty();
        assertThat(logRecords).hasSize(1);
        assertThat(logRecords.get(0).getThrown()).hasMessage("once");
    }
}
