package org.tamaracktrack.cli.output;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.tamaracktrack.link.codec.Codecs;

/** Writes the result of a command in the requested format. */
public final class Output {
    private final PrintStream stream;
    private final OutputFormat format;

    private Output(PrintStream stream, OutputFormat format) {
        this.stream = stream;
        this.format = format;
    }

    /**
     * Returns an output.
     *
     * @param stream the stream to write to
     * @param format the format
     * @return the output
     */
    public static Output of(PrintStream stream, OutputFormat format) {
        Objects.requireNonNull(stream, "stream is null");
        Objects.requireNonNull(format, "format is null");
        return new Output(stream, format);
    }

    /**
     * Returns the format of the output.
     *
     * @return the format
     */
    public OutputFormat format() {
        return format;
    }

    /**
     * Writes a table in the requested format.
     *
     * @param table the table
     */
    public void table(Table table) {
        switch (format) {
            case JSON -> json(table.asMaps());
            case CSV -> stream.println(table.asCsv());
            default -> stream.println(table.asText());
        }
    }

    /**
     * Writes a value as JSON, whatever the format.
     *
     * @param value the value
     */
    public void json(Object value) {
        byte[] bytes = Codecs.encode(Codecs.json(), value);
        stream.println(new String(bytes, StandardCharsets.UTF_8));
    }

    /**
     * Writes a line of text if the format is a table. Writes nothing otherwise.
     *
     * @param line the line
     */
    public void line(String line) {
        if (format == OutputFormat.TABLE) {
            stream.println(line);
        }
    }

    /**
     * Writes text without a line break, whatever the format.
     *
     * @param text the text
     */
    public void text(String text) {
        stream.print(text);
    }
}
