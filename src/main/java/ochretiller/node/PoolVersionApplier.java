package ochretiller.node;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import ochretiller.audit.ChainHead;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.service.RolloutEvent;
import ochretiller.fleet.service.VersionActivator;
import ochretiller.operator.OperatorConfig;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.settings.MalformedException;
import ochretiller.workers.WorkerPoolConfig;

/**
 * Applies the versions that a fleet rolls out. A version is an operators' file with worker pools;
 * without a version the server uses its own file. {@link #check} may be called on any thread, the
 * other methods on the event loop thread.
 */
final class PoolVersionApplier implements VersionActivator {
    private final NodeSettings settings;
    private final Consumer<List<WorkerPoolConfig>> pools;
    private final AuditTrail audit;

    /**
     * Creates an applier.
     *
     * @param pools applies a new configuration of the pools; called on the event loop thread
     */
    PoolVersionApplier(
            NodeSettings settings, Consumer<List<WorkerPoolConfig>> pools, AuditTrail audit) {
        this.settings = settings;
        this.pools = pools;
        this.audit = audit;
    }

    private List<WorkerPoolConfig> resolve(byte[] version) {
        List<WorkerPoolConfig> configs =
                OperatorConfigResolver.workerPoolConfigs(
                        operatorConfig(version), settings.configuration());
        Set<String> startedPools =
                settings.operator().pools().stream()
                        .map(OperatorConfig.Pool::name)
                        .collect(Collectors.toSet());
        Set<String> versionPools =
                configs.stream().map(WorkerPoolConfig::name).collect(Collectors.toSet());
        if (!startedPools.equals(versionPools)) {
            throw new MalformedException(
                    "it has the pools "
                            + versionPools
                            + ", and this server was started with "
                            + startedPools);
        }
        return configs;
    }

    private OperatorConfig operatorConfig(byte[] version) {
        if (version == null) {
            return settings.operatorConfigSupplier().get();
        }
        String text = new String(version, StandardCharsets.UTF_8);
        return settings.operator()
                .withPools(OperatorConfigReader.parseVersion(text, "the version"));
    }

    @Override
    public String check(byte[] version) {
        try {
            resolve(version);
            return null;
        } catch (MalformedException e) {
            return e.getMessage();
        }
    }

    @Override
    public String activate(byte[] version) {
        List<WorkerPoolConfig> configs;
        try {
            configs = resolve(version);
        } catch (MalformedException e) {
            return e.getMessage();
        }
        pools.accept(configs);
        return null;
    }

    @Override
    public void recordEvent(RolloutEvent event, PublishedVersion version, String text) {
        audit.recordRolloutEvent(event, version.number(), version.hash(), text);
    }

    @Override
    public ChainHead auditHead() {
        return audit.chainHead();
    }
}
