package ochretiller.node;

import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Supplier;
import ochretiller.operator.OperatorConfig;
import ochretiller.store.StorageDirectory;

/**
 * What a server is started with.
 *
 * @param configFile the configuration, which is read again on reload
 * @param configuration what it had at the start
 * @param operator what the operators have switched on
 * @param operatorReload reads the operators' file again
 * @param storage where idempotency records are stored; present if the operators ask for them
 */
record NodeSettings(
        Path configFile,
        ServerConfiguration configuration,
        OperatorConfig operator,
        Supplier<OperatorConfig> operatorReload,
        Optional<StorageDirectory> storage) {}
