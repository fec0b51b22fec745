package ochretiller.net;

import java.util.concurrent.Executor;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * The I/O processor of client connections, whose reads can be suspended and resumed on any thread.
 * MINA changes the selection key of a session on the thread that calls it, so that two calls can
 * undo each other's effect; here a change is always made on the I/O thread.
 */
final class ClientProcessor extends NioProcessor {
    private volatile Thread ioThread;

    ClientProcessor(Executor threads) {
        super(threads);
    }

    @Override
    protected int select(long timeout) throws Exception {
        ioThread = Thread.currentThread();
        return super.select(timeout);
    }

    @Override
    public void updateTrafficControl(NioSession session) {
        if (Thread.currentThread() != ioThread) {
            updateTrafficMask(session); // calls this method on the I/O thread
            return;
        }
        super.updateTrafficControl(session);
        if (session.getCurrentWriteRequest() != null) {
            keepWriting(session);
        }
    }

    /** MINA looks at the queue only, and would never send the rest of a partial last write. */
    private void keepWriting(NioSession session) {
        try {
            setInterestedInWrite(session, true);
        } catch (Exception e) { // declared by MINA
            session.getFilterChain().fireExceptionCaught(e);
        }
    }
}
