package org.tamaracktrack.daemon.entry;

import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.LogFollower;

/** Follows a stream of which each record says all that it has to say. */
final class RecordListener implements LogFollower.Listener {
    private static final Logger LOG = Logger.getLogger(RecordListener.class);

    private final LogStream stream;
    private final Consumer<LogRecord> records;

    private RecordListener(LogStream stream, Consumer<LogRecord> records) {
        this.stream = stream;
        this.records = records;
    }

    static RecordListener of(LogStream stream, Consumer<LogRecord> records) {
        return new RecordListener(stream, records);
    }

    @Override
    public void onRecord(LogRecord record) {
        records.accept(record);
    }

    @Override
    public void onGap(long firstOffset) {
        LOG.warnf("event=log-gap stream=%s first_offset=%d", stream.path(), firstOffset);
    }

    @Override
    public void onCaughtUp(long nextOffset) {}

    @Override
    public void onReachable(boolean reachable) {
        LOG.infof("event=log stream=%s reachable=%s", stream.path(), reachable);
    }
}
