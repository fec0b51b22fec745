package ochretiller.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Supplier;
import ochretiller.operator.OperatorConfig;
import ochretiller.settings.MalformedException;
import ochretiller.store.StorageDirectory;

/**
 * Builder of {@link ServerNode}, created by {@link ServerNode#builder}. Not safe for use by several
 * threads at once.
 */
public final class ServerNodeBuilder {
    private final Path configFile;
    private OperatorConfig operator = OperatorConfig.NONE;
    private Supplier<OperatorConfig> configSupplier = () -> operator;
    private Optional<StorageDirectory> storage = Optional.empty();

    ServerNodeBuilder(Path configFile) {
        this.configFile = configFile;
    }

    /** Sets the operators' configuration; by default no optional feature is enabled. */
    public ServerNodeBuilder operator(OperatorConfig config) {
        operator = config;
        return this;
    }

    /** Sets how a reload reads the operators' file; by default it returns the initial one. */
    public ServerNodeBuilder operatorConfigSupplier(Supplier<OperatorConfig> supplier) {
        configSupplier = supplier;
        return this;
    }

    /** Sets the directory for idempotency records; required if their storage is configured. */
    public ServerNodeBuilder storage(StorageDirectory directory) {
        storage = Optional.of(directory);
        return this;
    }

    /**
     * Reads the configuration and builds a server that does not listen yet.
     *
     * @throws MalformedException if the configuration or the operators' file is invalid
     * @throws IOException if a file or socket cannot be opened
     */
    public ServerNode build() throws IOException {
        ServerConfiguration configuration = ServerConfiguration.read(configFile);
        configuration.checkJvmSize(Integer.getInteger("ochretiller.sizedForMb"));
        return new ServerNode(
                new NodeSettings(configFile, configuration, operator, configSupplier, storage));
    }
}
