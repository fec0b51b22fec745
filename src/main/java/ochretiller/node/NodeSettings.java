package ochretiller.node;

import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Supplier;
import ochretiller.operator.OperatorConfig;
import ochretiller.store.StorageDirectory;

/**
 * The settings with which a server starts.
 *
 * @param configFile the configuration file, which is read again at each reload
 * @param configuration content of the configuration file at startup
 * @param operator content of the operators' file at startup, or {@code OperatorConfig.NONE}
 * @param operatorConfigSupplier reads the operators' file again
 * @param storage directory for idempotency records; present if their storage is configured
 */
record NodeSettings(
        Path configFile,
        ServerConfiguration configuration,
        OperatorConfig operator,
        Supplier<OperatorConfig> operatorConfigSupplier,
        Optional<StorageDirectory> storage) {}
