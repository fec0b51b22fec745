package ochretiller.net;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/** Listens, and takes all that the kernel has accepted before it ceases to. */
class Acceptor extends NioSocketAcceptor {
    private final IoProcessor<NioSession> processor;

    Acceptor(Executor threads, IoProcessor<NioSession> processor) {
        super(threads, processor);
        this.processor = processor;
    }

    /**
     * Guards against requests on connections that the kernel has accepted and nobody has taken: a
     * listener that closes resets them. MINA takes one connection a round, and may be told to close
     * in the same round.
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
