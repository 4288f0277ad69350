package org.tamaracktrack.cli.log;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.DrainRequested;
import org.tamaracktrack.core.log.LogEntry.OwnershipTaken;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.link.log.LogClient;

/** Who owns each target, and which are asked to leave. */
public final class OwnershipLog {
    private final Map<TargetId, Owner> owners = new TreeMap<>();
    private final Map<TargetId, DrainRequested> drains = new TreeMap<>();
    private final StreamReader reader;

    /**
     * The owner of a target.
     *
     * @param fencing its fencing number
     * @param sinceMillis when the log took its record
     * @param record what it wrote
     */
    public record Owner(long fencing, long sinceMillis, OwnershipTaken record) {}

    private OwnershipLog(LogClient log) {
        this.reader = StreamReader.of(log, LogStream.OWNERSHIP, this::handle);
    }

    /**
     * Returns a reader of the stream that has read nothing.
     *
     * @param log the log
     * @return the reader
     */
    public static OwnershipLog of(LogClient log) {
        Objects.requireNonNull(log, "log is null");
        return new OwnershipLog(log);
    }

    /**
     * Reads to the end of the stream.
     *
     * @param patience how often to try when the log can't be read
     */
    public void readToEnd(Patience patience) {
        reader.readToEnd(patience);
    }

    private void handle(LogRecord record) {
        if (record.entry() instanceof OwnershipTaken taken) {
            owners.put(
                    taken.target(), new Owner(record.offset(), record.appendedAtMillis(), taken));
        } else if (record.entry() instanceof DrainRequested drain) {
            drains.put(drain.target(), drain);
        }
    }

    /**
     * Returns the owner of a target.
     *
     * @param target the target
     * @return the owner, if the log names one
     */
    public Optional<Owner> owner(TargetId target) {
        return Optional.ofNullable(owners.get(target));
    }

    /**
     * Returns the newest request that a target leave, or stay.
     *
     * @param target the target
     * @return the request, if there is one
     */
    public Optional<DrainRequested> drain(TargetId target) {
        return Optional.ofNullable(drains.get(target));
    }
}
