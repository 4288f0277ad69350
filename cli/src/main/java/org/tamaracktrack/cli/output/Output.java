package org.tamaracktrack.cli.output;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.tamaracktrack.link.codec.Codecs;

/** Where a command writes its result. */
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
     * @param stream where to
     * @param format in which form
     * @return the output
     */
    public static Output of(PrintStream stream, OutputFormat format) {
        Objects.requireNonNull(stream, "stream is null");
        Objects.requireNonNull(format, "format is null");
        return new Output(stream, format);
    }

    /**
     * Returns the form of the output.
     *
     * @return the form
     */
    public OutputFormat format() {
        return format;
    }

    /**
     * Writes a table.
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
     * Writes a value as JSON, whatever the form.
     *
     * @param value the value
     */
    public void json(Object value) {
        byte[] bytes = Codecs.encode(Codecs.json(), value);
        stream.println(new String(bytes, StandardCharsets.UTF_8));
    }

    /**
     * Writes a line for people; left out unless the form is a table.
     *
     * @param line the line
     */
    public void line(String line) {
        if (format == OutputFormat.TABLE) {
            stream.println(line);
        }
    }

    /**
     * Writes text as it is.
     *
     * @param text the text
     */
    public void text(String text) {
        stream.print(text);
    }
}
