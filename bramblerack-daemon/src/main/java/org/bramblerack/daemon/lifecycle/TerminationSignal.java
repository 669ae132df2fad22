package org.bramblerack.daemon.lifecycle;

import java.lang.System.Logger;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tells a first signal to end from a second one, and takes the signal to read the settings again.
 *
 * <p>The class of the platform that does this is not part of its public interface and is reached by name; where it is
 * missing, a shutdown hook takes the first signal and there is no second. Safe for use by many threads.
 */
public final class TerminationSignal {
    private static final Logger LOGGER = System.getLogger(TerminationSignal.class.getName());

    private TerminationSignal() {}

    /** Sets what to run on the first and on the second SIGTERM or SIGINT, each on a thread of its own. */
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
            LOGGER.log(Logger.Level.DEBUG, "no signal handlers here", missing);
            Runtime.getRuntime().addShutdownHook(new Thread(first, "signal-1"));
        }
    }

    /** Sets what to run whenever the settings are said to have changed, by SIGHUP. */
    public static void onReload(Runnable reload) {
        try {
            install("HUP", () -> new Thread(reload, "reload").start());
        } catch (ReflectiveOperationException missing) {
            LOGGER.log(Logger.Level.WARNING, "SIGHUP cannot be handled here and would end the process", missing);
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
            throw new ReflectiveOperationException("the signal " + name + " cannot be handled", refused);
        }
    }
}
