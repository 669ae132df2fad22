package org.bramblerack.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bramblerack.cli.bench.FreePorts;
import org.bramblerack.daemon.control.FileLogStore;

/**
 * Generates the settings, declarations and credentials of the demonstration in one folder, with free ports.
 *
 * <p>Not thread-safe.
 */
final class DemoPlan {
    static final ImmutableList<String> PARTNERS = ImmutableList.of("sagarmatha", "spinifex");

    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");
    private static final ImmutableList<PlannedHost> HOSTS = ImmutableList.of(
            new PlannedHost("sag-1", "bagmati", true),
            new PlannedHost("sag-2", "bagmati", false),
            new PlannedHost("sag-3", "gandaki", true),
            new PlannedHost("sag-4", "koshi", false),
            new PlannedHost("spx-1", "brisbane", true),
            new PlannedHost("spx-2", "townsville", false),
            new PlannedHost("spx-3", "toowoomba", false));

    private final Path folder;
    private final Path examples;

    DemoPlan(Path folder, Path examples) {
        this.folder = folder;
        this.examples = examples;
    }

    /**
     * Writes the files and initializes the state of the control hosts.
     *
     * <p>The file {@code processes} lists the name and the arguments of each process to start; {@code addresses} lists
     * the name and the HTTP address of each process.
     */
    void write() throws IOException {
        Files.createDirectories(folder);
        List<String> processes = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (String partner : PARTNERS) {
            String controlAddress = "127.0.0.1:" + FreePorts.next();
            Path declaration = folder.resolve(partner + ".json");
            TextFiles.write(declaration, withFreePorts(TextFiles.read(examples.resolve(partner + ".json"))));
            TextFiles.write(folder.resolve(partner + ".credential"), credential(partner) + "\n");
            processes.add(
                    "stand-in-" + partner + " stand-in --declaration " + declaration + " --control " + controlAddress);
            addresses.add("stand-in-" + partner + " " + controlAddress);
        }
        Map<String, Integer> peerPorts = new HashMap<>();
        for (PlannedHost host : HOSTS) {
            peerPorts.put(host.name(), FreePorts.next());
        }
        for (PlannedHost host : HOSTS) {
            String callerAddress = "127.0.0.1:" + FreePorts.next();
            Path settings = folder.resolve(host.name() + ".json");
            TextFiles.write(settings, settings(host, callerAddress, peerPorts));
            if (host.control()) {
                new FileLogStore(dataFolder(host).resolve("control")).initialize();
            }
            processes.add(host.name() + " serve --lag-ms 500 --settings " + settings);
            addresses.add(host.name() + " " + callerAddress);
        }
        TextFiles.write(folder.resolve("processes"), String.join("\n", processes) + "\n");
        TextFiles.write(folder.resolve("addresses"), String.join("\n", addresses) + "\n");
    }

    static String credential(String partner) {
        return "demonstration-credential-of-" + partner;
    }

    private String settings(PlannedHost host, String callerAddress, Map<String, Integer> peerPorts) {
        StringBuilder text = new StringBuilder();
        text.append("// Settings of ").append(host.name()).append(" in the demonstration.\n{\n");
        text.append("  \"formatVersion\": 1,\n");
        text.append("  \"host\": \"").append(host.name()).append("\",\n");
        text.append("  \"region\": \"").append(host.zone()).append("\",\n");
        text.append("  \"zone\": \"").append(host.zone()).append("\",\n");
        text.append("  \"roles\": [\"entry\"")
                .append(host.control() ? ", \"control\"" : "")
                .append("],\n");
        text.append("  \"callerAddress\": \"").append(callerAddress).append("\",\n");
        text.append("  \"peerAddress\": \"127.0.0.1:")
                .append(peerPorts.get(host.name()))
                .append("\",\n");
        if (host.control()) {
            text.append("  \"dataFolder\": \"").append(dataFolder(host)).append("\",\n");
        }
        text.append("  \"workers\": 2,\n");
        text.append("  \"platform\": { \"file\": \"")
                .append(folder.resolve("platform.json"))
                .append("\" },\n");
        text.append("  // Only the digests of the credentials are written here.\n  \"credentials\": [\n");
        for (String partner : PARTNERS) {
            String digest = Hashing.sha256()
                    .hashString(credential(partner), StandardCharsets.UTF_8)
                    .toString();
            text.append("    { \"partner\": \"").append(partner).append("\", \"sha256\": \"");
            text.append(digest).append("\" },\n");
        }
        text.append("  ],\n  \"hosts\": [\n");
        for (PlannedHost peer : HOSTS) {
            text.append("    { \"name\": \"").append(peer.name()).append("\", \"zone\": \"");
            text.append(peer.zone()).append("\", \"peerAddress\": \"127.0.0.1:");
            text.append(peerPorts.get(peer.name())).append("\", \"control\": ");
            text.append(peer.control()).append(" },\n");
        }
        return text.append("  ],\n}\n").toString();
    }

    private Path dataFolder(PlannedHost host) {
        return folder.resolve("data-" + host.name());
    }

    private String withFreePorts(String declaration) throws IOException {
        Matcher matcher = ADDRESS.matcher(declaration);
        StringBuilder text = new StringBuilder();
        while (matcher.find()) {
            matcher.appendReplacement(text, "127.0.0.1:" + FreePorts.next());
        }
        return matcher.appendTail(text).toString();
    }

    private record PlannedHost(String name, String zone, boolean control) {}
}
