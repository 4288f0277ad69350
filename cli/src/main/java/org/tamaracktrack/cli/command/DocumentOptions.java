package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.link.codec.ConfigurationDocuments;

/** Holds the options that name the configuration document of a command and its parameters. */
final class DocumentOptions {
    private static final String PARAMETERS = "parameters";

    @Parameter(
            required = true,
            description = "FILE: the document, YAML or JSON; - for standard input")
    private List<String> files = new ArrayList<>();

    @Parameter(
            names = "--parameter",
            order = 10,
            description = "name=value, sets a parameter of the document; repeatable")
    private List<String> parameters = new ArrayList<>();

    Map<String, Object> document() {
        if (files.size() != 1) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "give one FILE, not " + files.size());
        }
        // JCommander treats an unknown option as a file name. Without this check, a misspelt option
        // would be reported as a missing file.
        if (files.get(0).startsWith("--")) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "unknown option " + files.get(0));
        }
        Map<String, Object> tree =
                new LinkedHashMap<>(ConfigurationDocuments.parseYaml(read(files.get(0))));
        parameters.forEach(parameter -> override(tree, parameter));
        return tree;
    }

    private static String read(String file) {
        try {
            return file.equals("-")
                    ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (NoSuchFileException failure) {
            throw unreadable(file, "the file does not exist", failure);
        } catch (CharacterCodingException failure) {
            throw unreadable(file, "the file is not UTF-8 text", failure);
        } catch (IOException failure) {
            throw unreadable(file, "the file can't be read", failure);
        }
    }

    private static TamaracktrackException unreadable(String file, String why, Exception cause) {
        return TamaracktrackException.of(ErrorCode.INVALID_SETTINGS, file + ": " + why, cause);
    }

    private static void override(Map<String, Object> tree, String parameter) {
        int separator = parameter.indexOf('=');
        if (separator < 1) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "--parameter is " + parameter + "; use name=value");
        }
        String name = parameter.substring(0, separator);
        Map<String, Object> values = new LinkedHashMap<>();
        if (tree.get(PARAMETERS) instanceof Map<?, ?> given) {
            given.forEach((key, value) -> values.put(String.valueOf(key), value));
        }
        if (!values.containsKey(name)) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "--parameter "
                            + name
                            + " is not in the document, which has "
                            + values.keySet());
        }
        values.put(name, scalar(parameter.substring(separator + 1)));
        tree.put(PARAMETERS, values);
    }

    private static Object scalar(String text) {
        if (text.matches("-?\\d{1,18}")) {
            return Long.valueOf(text);
        }
        if (text.matches("-?\\d+\\.\\d+")) {
            return Double.valueOf(text);
        }
        return text.equals("true") || text.equals("false") ? Boolean.valueOf(text) : text;
    }
}
