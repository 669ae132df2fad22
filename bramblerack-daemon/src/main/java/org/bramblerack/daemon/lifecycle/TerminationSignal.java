package org.bramblerack.daemon.lifecycle;

import java.lang.System.Logger;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Handles the first and the second termination signal separately, and the signal to reload the settings.
 *
 * <p>The JDK's signal class is not part of its public API and is accessed by reflection. If it is missing, a shutdown
 * hook handles the first signal and a second one has no effect. Safe for use by many threads.
 */
public final class TerminationSignal {
    private static final Logger LOGGER = System.getLogger(TerminationSignal.class.getName());

    private TerminationSignal() {}

    /** Sets the tasks to run on the first and the second SIGTERM or SIGINT, each on a new thread. */
    public static void onSignals(Runnable first, Runnable second) {
        AtomicInteger received = new AtomicInteger();
        Runnable handler = () -> {
            int number = received.incrementAndGet();
            if (number <= 2) {
                new Thread(number == 1 ? first : second, "signal-" + number).start();
            }
        };
        try {
            install("TERM", handler);
            install("INT", handler);
        } catch (ReflectiveOperationException missing) {
            LOGGER.log(
                    Logger.Level.DEBUG,
                    "signal handlers are unavailable; using a shutdown hook for the first signal",
                    missing);
            Runtime.getRuntime().addShutdownHook(new Thread(first, "signal-1"));
        }
    }

    /** Sets the task to run, on a new thread, on each SIGHUP. */
    public static void onReload(Runnable reload) {
        try {
            install("HUP", () -> new Thread(reload, "reload").start());
        } catch (ReflectiveOperationException missing) {
            LOGGER.log(
                    Logger.Level.WARNING,
                    "cannot handle SIGHUP, which would end the process; restart it to reload the settings",
                    missing);
        }
    }

    private static void install(String name, Runnable handler) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        Object signal = signalType.getConstructor(String.class).newInstance(name);
        Object proxy = Proxy.newProxyInstance(
                TerminationSignal.class.getClassLoader(),
                new Class<?>[] {handlerType},
                (proxyInstance, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        handler.run();
                    }
                    return null;
                });
        Method handle = signalType.getMethod("handle", signalType, handlerType);
        try {
            handle.invoke(null, signal, proxy);
        } catch (InvocationTargetException refused) {
            throw new ReflectiveOperationException("the handler of signal " + name + " cannot be installed", refused);
        }
    }
}
