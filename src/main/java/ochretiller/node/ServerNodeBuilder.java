package ochretiller.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Supplier;
import ochretiller.operator.OperatorConfig;
import ochretiller.settings.MalformedException;
import ochretiller.store.StorageDirectory;

/**
 * Collects what a server is started with. {@link ServerNode#builder} makes one; any single thread
 * may use it.
 */
public final class ServerNodeBuilder {
    private final Path configFile;
    private OperatorConfig operator = OperatorConfig.NONE;
    private Supplier<OperatorConfig> operatorReload = () -> operator;
    private Optional<StorageDirectory> storage = Optional.empty();

    ServerNodeBuilder(Path configFile) {
        this.configFile = configFile;
    }

    /** Sets what the operators have switched on; nothing by default. */
    public ServerNodeBuilder operator(OperatorConfig config) {
        operator = config;
        return this;
    }

    /** Sets what reads the operators' file again; by default it does not change. */
    public ServerNodeBuilder operatorReload(Supplier<OperatorConfig> reload) {
        operatorReload = reload;
        return this;
    }

    /** Sets where idempotency records are stored; needed if the operators ask for them. */
    public ServerNodeBuilder storage(StorageDirectory directory) {
        storage = Optional.of(directory);
        return this;
    }

    /**
     * Reads the configuration and builds a server that does not listen yet.
     *
     * @throws MalformedException if the configuration or the operators' file is wrong
     * @throws IOException if a file or socket cannot be opened
     */
    public ServerNode build() throws IOException {
        ServerConfiguration configuration = ServerConfiguration.read(configFile);
        configuration.checkJvmSize(Integer.getInteger("ochretiller.sizedForMb"));
        return new ServerNode(
                new NodeSettings(configFile, configuration, operator, operatorReload, storage));
    }
}
