package org.tamaracktrack.daemon.entry;

import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.LogFollower;

/**
 * Forwards the records of a log stream to a consumer. Each record of the stream must be complete in
 * itself, so that a gap needs no handling other than a log line.
 */
final class RecordListener implements LogFollower.Listener {
    private static final Logger LOG = Logger.getLogger(RecordListener.class);

    private final LogStream stream;
    private final Consumer<LogRecord> recordConsumer;

    private RecordListener(LogStream stream, Consumer<LogRecord> recordConsumer) {
        this.stream = stream;
        this.recordConsumer = recordConsumer;
    }

    static RecordListener of(LogStream stream, Consumer<LogRecord> recordConsumer) {
        return new RecordListener(stream, recordConsumer);
    }

    @Override
    public void onRecord(LogRecord record) {
        recordConsumer.accept(record);
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
