package ochretiller.metrics;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Writes all figures to a file again and again, in the text format that collectors of files read;
 * never half of it.
 */
public final class MetricsFile implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(MetricsFile.class.getName());

    private final Path file;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(
                    work -> {
                        Thread made = new Thread(work, "metrics");
                        made.setDaemon(true);
                        return made;
                    });
    private boolean failing;

    /**
     * Figures that are named from here on are not told: it is made once the server is put together.
     */
    public MetricsFile(Metrics metrics, Path file) {
        this.file = file;
        for (Metrics.Figure figure : metrics.all()) {
            if (figure.counts()) {
                CounterWithCallback.builder()
                        .name(figure.name())
                        .help(figure.help())
                        .callback(told -> told.call(figure.current().getAsDouble()))
                        .register(registry);
            } else {
                GaugeWithCallback.builder()
                        .name(figure.name())
                        .help(figure.help())
                        .callback(told -> told.call(figure.current().getAsDouble()))
                        .register(registry);
            }
        }
    }

    public MetricsFile start(Duration every) {
        thread.scheduleAtFixedRate(this::write, 0, every.toMillis(), TimeUnit.MILLISECONDS);
        return this;
    }

    private void write() {
        Path half = file.resolveSibling(file.getFileName() + ".tmp");
        try {
            try (OutputStream out = Files.newOutputStream(half)) {
                PrometheusTextFormatWriter.create().write(out, registry.scrape());
            }
            Files.move(
                    half,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            failing = false;
        } catch (IOException | RuntimeException e) {
            // One line for a row of failures: figures must not fill the log.
            if (!failing) {
                LOG.warning("cannot write the metrics to " + file + ": " + e.getMessage());
            }
            failing = true;
        }
    }

    @Override
    public void close() {
        thread.shutdown();
    }
}
