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
    private static final int PENDING_CONNECTIONS = 20;

    /** An acceptor that blocks in its first accept until {@code release} is counted down. */
    private static final class BlockingAcceptor extends Acceptor {
        private final CountDownLatch firstAccept = new CountDownLatch(1);
        private final CountDownLatch release = new CountDownLatch(1);

        BlockingAcceptor(ExecutorService threads, NioProcessor processor) {
            super(threads, processor);
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                throws Exception {
            if (firstAccept.getCount() > 0) {
                firstAccept.countDown();
                release.await();
            }
            return super.accept(processor, handle);
        }
    }

    @Test
    void connectionsInTheBacklogAreAcceptedBeforeTheListenerCloses() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        NioProcessor processor = new NioProcessor(threads);
        BlockingAcceptor acceptor = new BlockingAcceptor(threads, processor);
        LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
        acceptor.setBacklog(PENDING_CONNECTIONS * 2);
        acceptor.setCloseOnDeactivation(false);
        acceptor.setHandler(
                new IoHandlerAdapter() {
                    @Override
                    public void messageReceived(IoSession session, Object message) {
                        received.add(((IoBuffer) message).getHexDump());
                        session.write(IoBuffer.wrap(new byte[] {7}));
                    }
                });
        acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        int port = acceptor.getLocalAddress().getPort();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < PENDING_CONNECTIONS; i++) {
            Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
            client.setSoTimeout(10_000);
            client.getOutputStream().write(i);
            clients.add(client);
        }
        assertThat(acceptor.firstAccept.await(10, TimeUnit.SECONDS)).isTrue();
        Thread closing = new Thread(acceptor::unbind);
        closing.start();
        while (closing.getState() != Thread.State.WAITING
                && closing.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        acceptor.release.countDown();
        for (Socket client : clients) {
            assertThat(client.getInputStream().read()).isEqualTo(7);
        }
        assertThat(received).hasSize(PENDING_CONNECTIONS);
        closing.join();
        for (Socket client : clients) {
            client.close();
        }
        acceptor.dispose();
        processor.dispose();
        threads.shutdown();
    }
}
