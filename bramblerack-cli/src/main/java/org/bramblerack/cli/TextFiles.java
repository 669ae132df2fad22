package org.bramblerack.cli;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reading and writing of small text files, with messages that name the remedy. Stateless. */
final class TextFiles {
    private TextFiles() {}

    static String read(Path file) throws IOException {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException notFound) {
            throw new IOException("there is no file " + file + "; check its name", notFound);
        } catch (CharacterCodingException malformed) {
            throw new IOException(file + " is not text in UTF-8; convert it", malformed);
        } catch (IOException unreadable) {
            throw new IOException(file + " cannot be read; check that it is a file and its rights", unreadable);
        }
    }

    static void write(Path file, String text) throws IOException {
        Files.writeString(file, text, StandardCharsets.UTF_8);
    }
}
