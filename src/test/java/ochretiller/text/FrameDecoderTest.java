package ochretiller.text;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FrameDecoderTest {
    private final List<String> messages = new ArrayList<>();
    private final FrameDecoder frames =
            new FrameDecoder(
                    100,
                    true,
                    line -> {
                        List<String> words = line.words();
                        return words.get(0).equals("body")
                                ? Integer.parseInt(words.get(1))
                                : FrameDecoder.NO_BODY;
                    });

    private List<String> feed(FrameDecoder target, String text) {
        messages.clear();
        Slice slice = Slice.of(text);
        target.decode(
                slice.bytes(),
                slice.from(),
                slice.to(),
                (line, body) -> messages.add(line.text() + "|" + body.text()));
        return messages;
    }

    @Test
    void splitsLinesAndBodies() {
        assertThat(feed(frames, "one\r\nbody 4\r\na\r\nb\r\nbody 0\r\n\r\ntwo\r\n"))
                .containsExactly("one|", "body 4|a\r\nb", "body 0|", "two|");
    }

    @Test
    void assemblesMessagesFromSingleBytes() {
        List<String> all = new ArrayList<>();
        for (char c : "one\r\nbody 4\r\na\r\nb\r\ntwo\r\n".toCharArray()) {
            all.addAll(feed(frames, "" + c));
        }
        assertThat(all).containsExactly("one|", "body 4|a\r\nb", "two|");
    }

    @Test
    void linesStayIntactDuringLaterReads() {
        List<Slice> lines = new ArrayList<>();
        for (String text : List.of("fi", "rst\r\nse", "cond\r\nthi")) {
            Slice slice = Slice.of(text);
            frames.decode(slice.bytes(), slice.from(), slice.to(), (line, body) -> lines.add(line));
        }
        assertThat(lines).extracting(Slice::text).containsExactly("first", "second");
    }

    @Test
    void rejectsTooLongOrMalformedInput() {
        assertThatThrownBy(
                        () ->
                                feed(
                                        new FrameDecoder(10, false, line -> FrameDecoder.NO_BODY),
                                        "x".repeat(400)))
                .isInstanceOf(BadInputException.class);
        assertThatThrownBy(() -> feed(frames, "body 101\r\n"))
                .isInstanceOf(BadInputException.class);
        assertThatThrownBy(() -> feed(frames, "body 2\r\nabcd\r\n"))
                .isInstanceOf(BadInputException.class);
        assertThatThrownBy(() -> feed(frames, "line feed only\n"))
                .isInstanceOf(BadInputException.class);
    }
}
