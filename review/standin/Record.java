package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, run and answered to {@code record.txt}, with the seconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void line(String format, Object... values) {
        write(format, values);
    }

    /** Writes a line, and prints it as well. */
    void summary(String format, Object... values) {
        System.out.println(write(format, values));
    }

    private synchronized String write(String format, Object... values) {
        String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values);
        out.println(text);
        return text;
    }

    @Override
    public void close() {
        out.close();
    }
}
