package ochretiller.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.junit.jupiter.api.Test;

class AcceptorTest {
    private static final int WAITING = 20;

    /** Stands still in its first round until it is let go. */
    private static final class Held extends Acceptor {
        private final CountDownLatch first = new CountDownLatch(1);
        private final CountDownLatch go = new CountDownLatch(1);

        Held(ExecutorService threads, NioProcessor processor) {
            super(threads, processor);
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                throws Exception {
            if (first.getCount() > 0) {
                first.countDown();
                go.await();
            }
            return super.accept(processor, handle);
        }
    }

    @Test
    void whatTheKernelHasAcceptedIsTakenBeforeTheListenerCloses() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        NioProcessor processor = new NioProcessor(threads);
        Held acceptor = new Held(threads, processor);
        LinkedBlockingQueue<String> read = new LinkedBlockingQueue<>();
        acceptor.setBacklog(WAITING * 2);
        acceptor.setCloseOnDeactivation(false);
        acceptor.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void messageReceived(IoSession session, Object message) {
                        read.add(((IoBuffer) message).getHexDump());
                        session.write(IoBuffer.wrap(new byte[] {7}));
                    }
                });
        acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        int port = acceptor.getLocalAddress().getPort();
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < WAITING; i++) {
            Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
            caller.setSoTimeout(10_000);
            caller.getOutputStream().write(i);
            callers.add(caller);
        }
        assertThat(acceptor.first.await(10, TimeUnit.SECONDS)).isTrue();
        Thread closing = new Thread(acceptor::unbind);
        closing.start();
        while (closing.getState() != Thread.State.WAITING
                && closing.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        acceptor.go.countDown();
        for (Socket caller : callers) {
            assertThat(caller.getInputStream().read()).isEqualTo(7);
        }
        assertThat(read).hasSize(WAITING);
        closing.join();
        for (Socket caller : callers) {
            caller.close();
        }
        acceptor.dispose();
        processor.dispose();
        threads.shutdown();
    }
}
