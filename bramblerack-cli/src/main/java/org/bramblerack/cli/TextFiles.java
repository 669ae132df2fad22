package org.bramblerack.cli;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads and writes UTF-8 text files; the exceptions name the cause and the remedy. Stateless. */
final class TextFiles {
    private TextFiles() {}

    static String read(Path file) throws IOException {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException notFound) {
            throw new IOException("there is no file " + file + "; check the path", notFound);
        } catch (CharacterCodingException malformed) {
            throw new IOException(file + " is not valid UTF-8; convert it to UTF-8", malformed);
        } catch (IOException unreadable) {
            throw new IOException(
                    file + " cannot be read; check that it is a regular file and its permissions", unreadable);
        }
    }

    static void write(Path file, String text) throws IOException {
        Files.writeString(file, text, StandardCharsets.UTF_8);
    }
}
