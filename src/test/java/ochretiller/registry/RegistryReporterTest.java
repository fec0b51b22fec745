package ochretiller.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import ochretiller.ManualEventLoop;
import org.junit.jupiter.api.Test;

class RegistryReporterTest {
    private static final Duration STEP = Duration.ofMillis(250);
    private final ManualEventLoop loop = new ManualEventLoop();

    private static String next(DatagramSocket list) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        list.receive(packet);
        return new String(packet.getData(), 0, packet.getLength());
    }

    @Test
    void reportsGoOnBehindARosterThatIsDownAndOneThatCannotBeSentTo() throws Exception {
        InetAddress host = InetAddress.getLoopbackAddress();
        DatagramSocket list = new DatagramSocket(0, host);
        list.setSoTimeout(10_000);
        InetSocketAddress address = new InetSocketAddress(host, list.getLocalPort());
        RegistryReporter roster = new RegistryReporter(loop, address, "n1");
        roster.start();
        assertThat(next(list)).isEqualTo("HERE n1 on");
        list.close();
        loop.pass(
                STEP.multipliedBy(
                        4)); // nobody listens: each report is answered by an error of the network
        roster.move(new InetSocketAddress(host, 0));
        loop.pass(STEP.multipliedBy(2)); // this cannot even be sent
        DatagramSocket back = new DatagramSocket(0, host);
        back.setSoTimeout(10_000);
        roster.move(new InetSocketAddress(host, back.getLocalPort()));
        assertThat(next(back)).isEqualTo("HERE n1 on");
        loop.pass(STEP);
        assertThat(next(back)).isEqualTo("HERE n1 on");
        roster.leave();
        assertThat(next(back)).isEqualTo("HERE n1 off");
        back.close();
    }
}
