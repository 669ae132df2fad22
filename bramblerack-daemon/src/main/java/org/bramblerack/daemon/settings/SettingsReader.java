package org.bramblerack.daemon.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.bramblerack.process.document.DocumentReader;
import org.bramblerack.process.document.Fields;
import org.bramblerack.process.document.ValidationError;

/**
 * Reads and validates a settings file. Any error rejects the whole file.
 *
 * <p>The format is described in {@code docs/SETTINGS.md}. Stateless and safe for use by many threads.
 */
public final class SettingsReader {
    /** The only format version that this reader supports. */
    public static final int FORMAT_VERSION = 1;

    private static final int MAX_HOSTS = 5_000;
    private static final int MAX_PARTNERS = 100;
    private static final int MAX_WORKERS = 64;
    private static final int DEFAULT_WORKERS = 4;
    private static final int MAX_QUERIES = 100_000;
    private static final int DEFAULT_QUERIES = 256;
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

    private SettingsReader() {}

    /**
     * Reads settings.
     *
     * @param text the file's text
     * @return the settings, or a non-empty list of all validation errors with their lines
     */
    public static Either<ImmutableList<ValidationError>, Settings> read(String text) {
        return DocumentReader.read(text, SettingsReader::readSettings);
    }

    private static Settings readSettings(Fields fields) {
        fields.integer("formatVersion", FORMAT_VERSION, FORMAT_VERSION);
        String host = fields.name("host");
        String region = fields.name("region");
        String zone = fields.name("zone");
        ImmutableSet<Role> roles = readRoles(fields);
        HostAndPort callerAddress = fields.address("callerAddress");
        HostAndPort peerAddress = fields.address("peerAddress");
        Optional<Path> dataFolder = fields.optionalText("dataFolder").map(Path::of);
        ImmutableList<HostEntry> hosts = fields.objects("hosts", MAX_HOSTS, SettingsReader::readHost);
        ImmutableMap<String, String> credentials = readCredentials(fields);
        PlatformSource platform =
                fields.optionalObject("platform", SettingsReader::readPlatform).orElse(PlatformSource.NONE);
        int workers = fields.integer("workers", 1, MAX_WORKERS, DEFAULT_WORKERS);
        int maxQueries = fields.integer("maxQueries", 1, MAX_QUERIES, DEFAULT_QUERIES);
        boolean control = roles.contains(Role.CONTROL);
        if (control && dataFolder.isEmpty()) {
            fields.addError("dataFolder", "the control role needs a folder that lasts", "add dataFolder");
        }
        checkHosts(fields, host, zone, peerAddress, control, hosts);
        return new Settings(
                host,
                region,
                zone,
                roles,
                callerAddress,
                peerAddress,
                dataFolder,
                hosts,
                credentials,
                platform,
                workers,
                maxQueries);
    }

    private static ImmutableSet<Role> readRoles(Fields fields) {
        ImmutableSet.Builder<Role> roles = ImmutableSet.builder();
        ImmutableList<String> names = fields.texts("roles", Role.values().length);
        for (String name : names) {
            switch (name.toLowerCase(Locale.ROOT)) {
                case "entry" -> roles.add(Role.ENTRY);
                case "control" -> roles.add(Role.CONTROL);
                default -> fields.addError("roles", "\"" + name + "\" is not a role", "write entry or control");
            }
        }
        if (names.isEmpty()) {
            fields.addError("roles", "no role is given", "write [\"entry\"], [\"control\"] or both");
        }
        return roles.build();
    }

    private static HostEntry readHost(Fields fields) {
        return new HostEntry(
                fields.name("name"), fields.name("zone"), fields.address("peerAddress"), fields.flag("control", false));
    }

    private static ImmutableMap<String, String> readCredentials(Fields fields) {
        Map<String, String> digests = new LinkedHashMap<>();
        for (Credential credential : fields.objects("credentials", MAX_PARTNERS, SettingsReader::readCredential)) {
            if (digests.putIfAbsent(credential.partner(), credential.digest()) != null) {
                fields.addError(
                        "credentials", credential.partner() + " is given twice", "keep one credential a partner");
            }
        }
        return ImmutableMap.copyOf(digests);
    }

    private static Credential readCredential(Fields fields) {
        String partner = fields.name("partner");
        String digest = fields.text("sha256");
        if (!SHA256_HEX.matcher(digest).matches()) {
            fields.addError(
                    "sha256",
                    "this is not the SHA-256 of a credential",
                    "write 64 lower case hexadecimal digits, the digest and never the credential itself");
        }
        return new Credential(partner, digest);
    }

    private static PlatformSource readPlatform(Fields fields) {
        PlatformSource source = new PlatformSource(fields.optionalText("file"), fields.optionalText("url"));
        if (source.file().isPresent() == source.url().isPresent()) {
            fields.addError("file", "the platform's list needs one source", "give either file or url");
        }
        source.url()
                .filter(url -> !url.startsWith("http://"))
                .ifPresent(url ->
                        fields.addError("url", "\"" + url + "\" is not an HTTP address", "write http://IP:PORT/PATH"));
        return source;
    }

    private static void checkHosts(
            Fields fields,
            String host,
            String zone,
            HostAndPort peerAddress,
            boolean control,
            ImmutableList<HostEntry> hosts) {
        Set<String> names = new HashSet<>();
        Set<HostAndPort> addresses = new HashSet<>();
        for (HostEntry entry : hosts) {
            if (!names.add(entry.name())) {
                fields.addError("hosts", "the host " + entry.name() + " is listed twice", "list each host once");
            } else if (!addresses.add(entry.peerAddress())) {
                fields.addError("hosts", entry.name() + " shares its address with another host", "give each its own");
            }
        }
        Optional<HostEntry> self =
                hosts.stream().filter(entry -> entry.name().equals(host)).findFirst();
        if (self.isEmpty()) {
            fields.addError("hosts", "this host, " + host + ", is not listed", "list it with the others");
        } else if (!self.get().equals(new HostEntry(host, zone, peerAddress, control))) {
            fields.addError(
                    "hosts",
                    "the entry of this host, " + host + ", differs from its own settings",
                    "give it the same zone, peerAddress and control flag as above");
        }
        long voters = hosts.stream().filter(HostEntry::control).count();
        if (voters % 2 == 0 || voters > 7) {
            fields.addError("hosts", voters + " hosts have control", "set control on 1, 3, 5 or 7 hosts");
        }
    }

    private record Credential(String partner, String digest) {}
}
