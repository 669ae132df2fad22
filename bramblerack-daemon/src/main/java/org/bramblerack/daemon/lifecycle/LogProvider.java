package org.bramblerack.daemon.lifecycle;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * An SLF4J provider that starts Logback without searching for configuration files, since {@link LogSetup} configures
 * it.
 *
 * <p>Skipping the search through the class path shortens the start of a process: it took a third of the processor time
 * until the settings are read. A process selects this provider by the system property {@value #PROPERTY}; otherwise
 * Logback's own provider is used. Safe for use by many threads after {@link #initialize} has returned.
 */
public final class LogProvider implements SLF4JServiceProvider {
    /** The system property that selects the SLF4J provider. */
    public static final String PROPERTY = "slf4j.provider";

    private static final String API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter diagnosticContext = new LogbackMDCAdapter();

    /** Called by SLF4J. */
    public LogProvider() {}

    @Override
    public void initialize() {
        context.setName("default");
        context.setMDCAdapter(diagnosticContext);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
        context.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return context;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return diagnosticContext;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }
}
