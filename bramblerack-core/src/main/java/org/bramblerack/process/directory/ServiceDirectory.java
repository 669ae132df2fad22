package org.bramblerack.process.directory;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.bramblerack.connection.HolderAssignment;
import org.bramblerack.process.DrainRegistry;
import org.bramblerack.process.DrainSource;
import org.bramblerack.process.UpstreamEvidence;
import org.bramblerack.process.UpstreamTable;
import org.bramblerack.request.ServiceTables;
import org.bramblerack.version.Configuration;
import org.bramblerack.version.Declaration;
import org.bramblerack.version.Service;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.version.UpstreamReport;

/**
 * The services of the configuration in force, with the state of their upstreams.
 *
 * <p>Invariants: the configuration in force is replaced as a whole, and only by one of a higher revision. The state of
 * an upstream is kept while the upstream is declared.
 *
 * <p>Safe for use by many threads: a look-up reads one immutable map; a change takes this object's lock, which is
 * acquired before those of the tables.
 */
public final class ServiceDirectory {
    private final UpstreamTable upstreams;
    private final Function<String, ImmutableList<String>> hostsOfZone;
    private final DrainRegistry drains = new DrainRegistry();
    private final Map<ServiceName, ServiceTables> tables = new ConcurrentHashMap<>();
    private volatile View view = new View(Configuration.EMPTY, ImmutableMap.of());

    /**
     * Creates an empty directory.
     *
     * @param ownZone the availability zone of this host
     * @param hostsOfZone returns the names of all hosts in an availability zone
     */
    public ServiceDirectory(String ownZone, Function<String, ImmutableList<String>> hostsOfZone) {
        this.upstreams = new UpstreamTable(ownZone);
        this.hostsOfZone = hostsOfZone;
    }

    /**
     * Puts a configuration in force.
     *
     * @return false if one of the same or a higher revision is in force already
     */
    public synchronized boolean configure(Configuration configuration, long nowNanos) {
        if (configuration.revision() <= view.configuration().revision()) {
            return false;
        }
        ImmutableMap.Builder<ServiceName, ServiceView> services = ImmutableMap.builder();
        Set<UpstreamName> declared = new HashSet<>();
        for (Declaration declaration : configuration.declarations().values()) {
            for (Service service : declaration.services().values()) {
                services.put(service.name(), configureService(service, nowNanos));
                service.upstreams().forEach(upstream -> declared.add(upstream.name()));
            }
        }
        view = new View(configuration, services.buildOrThrow());
        upstreams.retain(declared::contains);
        tables.keySet().retainAll(view.services().keySet());
        return true;
    }

    public Configuration configuration() {
        return view.configuration();
    }

    /** Returns a service, or nothing if it is not declared. */
    public Optional<ServiceView> find(ServiceName name) {
        return Optional.ofNullable(view.services().get(name));
    }

    public ImmutableList<ServiceView> services() {
        return view.services().values().asList();
    }

    /** Returns the holders of an upstream's connections, or nothing if the upstream is not declared. */
    public Optional<HolderAssignment> assignment(UpstreamName name) {
        return find(name.service())
                .flatMap(service -> Optional.ofNullable(service.assignments().get(name)));
    }

    /**
     * Records a holder's report on an upstream. Reports on undeclared upstreams are ignored.
     *
     * @param reachable true if the holder received the report from the upstream recently
     */
    public void recordReport(String holder, UpstreamName name, UpstreamReport report, boolean reachable) {
        Optional<ServiceView> service = find(name.service());
        Optional<UpstreamEvidence> evidence = upstreams.find(name);
        if (service.isEmpty() || evidence.isEmpty()) {
            return;
        }
        boolean draining = drains.record(holder, name, report.draining());
        evidence.get().setDraining(DrainSource.UPSTREAM, draining);
        if (reachable) {
            service.get().tables().versions().record(name, report.served());
        }
        service.get()
                .tables()
                .versions()
                .setUsable(name, reachable && !evidence.get().isDraining());
    }

    /** Records whether the platform lists an upstream as leaving. */
    public void recordPlatformDrain(UpstreamName name, boolean leaving) {
        upstreams.find(name).ifPresent(evidence -> evidence.setDraining(DrainSource.PLATFORM, leaving));
    }

    /** Returns the declared upstreams of all services. */
    public ImmutableList<Upstream> upstreams() {
        return view.services().values().stream()
                .flatMap(service -> service.service().upstreams().stream())
                .collect(ImmutableList.toImmutableList());
    }

    private ServiceView configureService(Service service, long nowNanos) {
        ServiceTables serviceTables = tablesOf(service);
        tables.put(service.name(), serviceTables);
        ImmutableMap.Builder<UpstreamName, HolderAssignment> assignments = ImmutableMap.builder();
        for (Upstream upstream : service.upstreams()) {
            upstreams.declare(upstream, service.limits(), nowNanos);
            assignments.put(
                    upstream.name(),
                    HolderAssignment.compute(upstream.name(), service.limits(), hostsOfZone.apply(upstream.zone())));
        }
        ImmutableMap<UpstreamName, HolderAssignment> built = assignments.buildOrThrow();
        serviceTables.versions().retainAll(ImmutableSet.copyOf(built.keySet()));
        return new ServiceView(service, serviceTables, built);
    }

    private ServiceTables tablesOf(Service service) {
        ServiceTables known = tables.get(service.name());
        if (known == null) {
            return ServiceTables.create(upstreams, service.limits());
        }
        boolean sameLimits = find(service.name())
                .map(view -> view.service().limits().equals(service.limits()))
                .orElse(false);
        return sameLimits ? known : known.withLimits(service.limits());
    }

    private record View(Configuration configuration, ImmutableMap<ServiceName, ServiceView> services) {}
}
