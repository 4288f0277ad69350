package org.tamaracktrack.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/** Decodes the records of a batch. */
final class KeyedRecords {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.topics");

    private KeyedRecords() {}

    /**
     * Returns the decoded records of a batch; records that cannot be decoded are logged and left
     * out.
     */
    static List<KeyedRecord> decode(TopicClient topics, TopicPart part, RecordBatch batch) {
        List<KeyedRecord> decoded = new ArrayList<>();
        long offset = batch.from();
        for (byte[] bytes : batch.records()) {
            Optional<KeyedRecord> record = topics.keyed(bytes, offset);
            if (record.isEmpty()) {
                LOG.warn("event=record-unreadable part=" + part + " offset=" + offset);
            }
            record.ifPresent(decoded::add);
            offset++;
        }
        return decoded;
    }
}
