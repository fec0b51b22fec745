package ochretiller.net;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/** A listener that accepts all connections in the kernel's backlog before it closes. */
class Acceptor extends NioSocketAcceptor {
    private final IoProcessor<NioSession> processor;

    Acceptor(Executor threads, IoProcessor<NioSession> processor) {
        super(threads, processor);
        this.processor = processor;
    }

    /**
     * Accepts the connections left in the backlog, then closes. Closing a listening socket resets
     * connections that the kernel has completed but the process has not accepted, and loses any
     * request on them. MINA accepts one connection per round and may close in the same round.
     */
    @Override
    protected void close(ServerSocketChannel handle) throws Exception {
        selector.selectNow();
        for (NioSession session = accept(processor, handle);
                session != null;
                session = accept(processor, handle)) {
            initSession(session, null, null);
            processor.add(session);
        }
        super.close(handle);
    }
}
