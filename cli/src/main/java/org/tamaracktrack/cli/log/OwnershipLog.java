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

/** Reads the ownership stream of the log: the owner of each target, and the drain requests. */
public final class OwnershipLog {
    private final Map<TargetId, Owner> owners = new TreeMap<>();
    private final Map<TargetId, DrainRequested> drains = new TreeMap<>();
    private final StreamReader reader;

    /**
     * The newest owner of a target.
     *
     * @param fencing the fencing number of the owner
     * @param sinceMillis the time at which its record was appended, in milliseconds since the epoch
     * @param record the record that it appended
     */
    public record Owner(long fencing, long sinceMillis, OwnershipTaken record) {}

    private OwnershipLog(LogClient log) {
        this.reader = StreamReader.of(log, LogStream.OWNERSHIP, this::handle);
    }

    /**
     * Returns a reader that starts at the oldest record.
     *
     * @param log the log
     * @return the reader
     */
    public static OwnershipLog of(LogClient log) {
        Objects.requireNonNull(log, "log is null");
        return new OwnershipLog(log);
    }

    /**
     * Reads all records up to the end of the stream.
     *
     * @param timer limits the retries of failed reads
     */
    public void readToEnd(RetryTimer timer) {
        reader.readToEnd(timer);
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
     * @return the owner; empty if the records read contain none
     */
    public Optional<Owner> owner(TargetId target) {
        return Optional.ofNullable(owners.get(target));
    }

    /**
     * Returns the newest request to drain a target or to cancel its drain.
     *
     * @param target the target
     * @return the request; empty if there is none
     */
    public Optional<DrainRequested> drain(TargetId target) {
        return Optional.ofNullable(drains.get(target));
    }
}
