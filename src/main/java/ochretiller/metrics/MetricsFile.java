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
 * Exports all metrics periodically to a file in the Prometheus text format, for file collectors.
 * The file is replaced atomically, so readers never see a partial one.
 */
public final class MetricsFile implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(MetricsFile.class.getName());

    private final Path file;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "metrics");
                        thread.setDaemon(true);
                        return thread;
                    });
    private boolean lastWriteFailed;

    /** Creates an exporter of the metrics that are registered now; later ones are not exported. */
    public MetricsFile(Metrics metrics, Path file) {
        this.file = file;
        for (Metrics.Metric metric : metrics.all()) {
            if (metric.isCounter()) {
                CounterWithCallback.builder()
                        .name(metric.name())
                        .help(metric.help())
                        .callback(callback -> callback.call(metric.valueSupplier().getAsDouble()))
                        .register(registry);
            } else {
                GaugeWithCallback.builder()
                        .name(metric.name())
                        .help(metric.help())
                        .callback(callback -> callback.call(metric.valueSupplier().getAsDouble()))
                        .register(registry);
            }
        }
    }

    /** Writes the file now and after each interval, on the exporter's own thread. */
    public MetricsFile start(Duration interval) {
        executor.scheduleAtFixedRate(this::write, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
        return this;
    }

    private void write() {
        Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
        try {
            try (OutputStream out = Files.newOutputStream(temporary)) {
                PrometheusTextFormatWriter.create().write(out, registry.scrape());
            }
            Files.move(
                    temporary,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            lastWriteFailed = false;
        } catch (IOException | RuntimeException e) {
            // Only the first of consecutive failures is logged, to keep the log short.
            if (!lastWriteFailed) {
                LOG.warning("cannot write the metrics to " + file + ": " + e.getMessage());
            }
            lastWriteFailed = true;
        }
    }

    @Override
    public void close() {
        executor.shutdown();
    }
}
