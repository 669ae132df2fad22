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
 * Gives a process the logging library without a search for configuration files, since {@link LogSetup} configures it.
 *
 * <p>The library's own provider looks through every file of the class path, twice, and loads a parser: a third of the
 * processor time that a start takes until the settings are read. A process names this provider by the property
 * {@value #PROPERTY}; without it the library's own serves. Safe for use by many threads once {@link #initialize} is
 * done.
 */
public final class LogProvider implements SLF4JServiceProvider {
    /** The system property by which a process chooses its provider. */
    public static final String PROPERTY = "slf4j.provider";

    private static final String API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter diagnosticContext = new LogbackMDCAdapter();

    /** Creates a provider; the logging interface does. */
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
