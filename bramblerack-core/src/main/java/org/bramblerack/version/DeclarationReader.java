package org.bramblerack.version;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.bramblerack.process.document.DocumentReader;
import org.bramblerack.process.document.Fields;
import org.bramblerack.process.document.ValidationError;

/**
 * Parses and validates a partner's declaration file, and returns either the declaration or all errors.
 *
 * <p>The format is described in {@code docs/DECLARATION.md}. Stateless and safe for use by many threads.
 */
public final class DeclarationReader {
    /** The only version of the format that this reader accepts. */
    public static final int FORMAT_VERSION = 1;

    private static final int MAX_SERVICES = 200;
    private static final int MAX_UPSTREAMS = 20_000;
    private static final int MAX_SHARDS = 10_000;
    private static final int MAX_CLASSES = 32;
    private static final int MAX_SLOTS = 1_024;
    private static final int MAX_CONNECTIONS = 10_000;
    private static final int MAX_EXTRA_LOAD_PERCENT = 20;
    private static final int DEFAULT_EXTRA_LOAD_PERCENT = 5;
    private static final Duration MIN_DEADLINE = Duration.ofMillis(1);
    private static final Duration MAX_DEADLINE = Duration.ofMinutes(5);
    private static final Duration MIN_RETENTION = Duration.ofMinutes(10);
    private static final Duration MAX_RETENTION = Duration.ofDays(30);
    private static final Duration DEFAULT_RETENTION = Duration.ofDays(2);
    private static final Duration MAX_LINGER = Duration.ofMinutes(2);
    private static final Duration DEFAULT_LINGER = Duration.ofSeconds(10);

    private DeclarationReader() {}

    /**
     * Reads a declaration.
     *
     * @param text the content of the file
     * @return the declaration, or a non-empty list of all errors with their lines
     */
    public static Either<ImmutableList<ValidationError>, Declaration> read(String text) {
        return DocumentReader.read(text, DeclarationReader::readDeclaration);
    }

    private static Declaration readDeclaration(Fields fields) {
        fields.integer("formatVersion", FORMAT_VERSION, FORMAT_VERSION);
        String partner = orPlaceholder(fields.name("partner"));
        List<Service> services = fields.objects("services", MAX_SERVICES, service -> readService(partner, service));
        if (services.isEmpty()) {
            fields.addError("services", "no service is declared", "declare at least one service");
        }
        return new Declaration(
                partner,
                byName(fields, "services", services, service -> service.name().service()));
    }

    private static Service readService(String partner, Fields fields) {
        ServiceName name = new ServiceName(partner, orPlaceholder(fields.name("name")));
        ServiceKind kind = fields.choice("kind", ServiceKind.class);
        int shards = kind == ServiceKind.SHARDED ? fields.integer("shards", 1, MAX_SHARDS) : 1;
        UpstreamLimits limits = readLimits(fields);
        List<RequestClass> classes = fields.objects("classes", MAX_CLASSES, DeclarationReader::readClass);
        List<Operation> operations = fields.objects("operations", MAX_CLASSES, DeclarationReader::readOperation);
        List<Upstream> upstreams =
                fields.objects("upstreams", MAX_UPSTREAMS, upstream -> readUpstream(name, kind, shards, upstream));
        if (classes.isEmpty() && operations.isEmpty()) {
            fields.addError("classes", "the service has no class and no operation", "declare at least one");
        }
        if (kind == ServiceKind.SHARDED && !operations.isEmpty()) {
            fields.addError(
                    "operations",
                    "a sharded service cannot have once-only operations",
                    "declare them in a service of kind pooled");
        }
        checkUpstreams(fields, shards, upstreams);
        return new Service(
                name,
                kind,
                shards,
                limits,
                byName(fields, "classes", classes, RequestClass::name),
                byName(fields, "operations", operations, Operation::name),
                ImmutableList.copyOf(upstreams));
    }

    private static UpstreamLimits readLimits(Fields fields) {
        int slots = fields.integer("slots", 1, MAX_SLOTS);
        int connections = fields.integer("connections", 1, MAX_CONNECTIONS);
        if (connections < slots) {
            fields.addError(
                    "connections",
                    connections + " connections cannot carry " + slots + " slots",
                    "allow at least one connection for each slot");
        }
        Duration linger = fields.millis("connectionLingerMs", Duration.ZERO, MAX_LINGER, DEFAULT_LINGER);
        int extraLoad = fields.integer("extraLoadPercent", 0, MAX_EXTRA_LOAD_PERCENT, DEFAULT_EXTRA_LOAD_PERCENT);
        return new UpstreamLimits(slots, connections, linger, extraLoad);
    }

    private static RequestClass readClass(Fields fields) {
        String name = fields.name("name");
        Priority priority = fields.choice("priority", Priority.class);
        Duration deadline = fields.millis("deadlineMs", MIN_DEADLINE, MAX_DEADLINE);
        return new RequestClass(name, priority, deadline, fields.choice("prefer", Preference.class));
    }

    private static Operation readOperation(Fields fields) {
        String name = fields.name("name");
        Priority priority = fields.choice("priority", Priority.class);
        Duration deadline = fields.millis("deadlineMs", MIN_DEADLINE, MAX_DEADLINE);
        Duration retention = fields.millis("retentionMs", MIN_RETENTION, MAX_RETENTION, DEFAULT_RETENTION);
        return new Operation(name, priority, deadline, retention);
    }

    private static Upstream readUpstream(ServiceName service, ServiceKind kind, int shards, Fields fields) {
        UpstreamName name = new UpstreamName(service, orPlaceholder(fields.name("name")));
        int shard = kind == ServiceKind.SHARDED ? fields.integer("shard", 0, shards - 1) : 0;
        String zone = fields.name("zone");
        return new Upstream(name, shard, zone, fields.address("address"), fields.flag("leaving", false));
    }

    private static void checkUpstreams(Fields fields, int shards, List<Upstream> upstreams) {
        Map<String, UpstreamName> byAddress = new HashMap<>();
        Set<UpstreamName> names = new HashSet<>();
        Set<Integer> served = new HashSet<>();
        for (Upstream upstream : upstreams) {
            served.add(upstream.shard());
            UpstreamName earlier = byAddress.put(upstream.address().toString(), upstream.name());
            if (!names.add(upstream.name())) {
                fields.addError(
                        "upstreams", "the name " + upstream.name().upstream() + " is given twice", "name each once");
            } else if (earlier != null) {
                fields.addError(
                        "upstreams",
                        earlier.upstream() + " and " + upstream.name().upstream() + " have the same address",
                        "give each upstream an address of its own");
            }
        }
        for (int shard = 0; shard < shards; shard++) {
            if (!served.contains(shard)) {
                fields.addError("upstreams", "shard " + shard + " has no upstream", "declare a replica for it");
                return;
            }
        }
    }

    private static <T> ImmutableMap<String, T> byName(
            Fields fields, String field, List<T> values, Function<T, String> nameOf) {
        Map<String, T> result = new LinkedHashMap<>();
        for (T value : values) {
            if (result.putIfAbsent(nameOf.apply(value), value) != null) {
                fields.addError(field, "the name " + nameOf.apply(value) + " is given twice", "name each once");
            }
        }
        return ImmutableMap.copyOf(result);
    }

    /** Replaces a missing or malformed name, which has been reported as an error, so that reading can continue. */
    private static String orPlaceholder(String name) {
        return name.isEmpty() || name.indexOf('/') >= 0 ? "unnamed" : name;
    }
}
