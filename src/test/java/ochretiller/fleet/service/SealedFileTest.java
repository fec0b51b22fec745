package ochretiller.fleet.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.transport.CborReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Small files that are whole or told to be damaged, whatever became of their bytes. */
class SealedFileTest {
    @TempDir private Path folder;

    @Test
    void eachCutAndEachSpoiltByteIsTold() throws IOException {
        Path path = folder.resolve("small");
        SealedFile file = new SealedFile(path);
        assertThat(file.<String>read(CborReader::readText)).as("there is none").isEmpty();
        file.write(to -> to.writeString("what was kept"));
        assertThat(file.read(CborReader::readText)).contains("what was kept");
        byte[] whole = Files.readAllBytes(path);
        for (int i = 0; i < whole.length; i++) {
            Files.write(path, Arrays.copyOf(whole, i));
            assertThatThrownBy(() -> file.read(CborReader::readText))
                    .as("cut at " + i)
                    .isInstanceOf(CorruptFileException.class);
            byte[] spoilt = whole.clone();
            spoilt[i] ^= 0x10;
            Files.write(path, spoilt);
            assertThatThrownBy(() -> file.read(CborReader::readText))
                    .as("spoilt at " + i)
                    .isInstanceOf(CorruptFileException.class);
        }
    }

    @Test
    void whomAServerKnewIsReadBackAndADamagedFileIsNoFault() throws Exception {
        Path path = folder.resolve("peers");
        PeersFile file = new PeersFile(path);
        assertThat(file.read()).isEmpty();
        List<PeerAddress> known =
                List.of(new PeerAddress("10.0.0.2", 4200), new PeerAddress("10.0.0.3", 4200));
        file.write(known);
        for (int i = 0; i < 500 && !Files.exists(path); i++) {
            Thread.sleep(10);
        }
        assertThat(file.read()).isEqualTo(known);
        Files.writeString(path, "not what was written");
        assertThat(file.read()).isEmpty();
        file.close();
    }
}
