package org.tamaracktrack.link.topic;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Calls to topics, each sent once. Futures are completed on an input/output thread and never fail:
 * every failure is a {@link TopicAnswer}.
 */
public interface TopicClient {

    /**
     * Returns the era of the store. A call that is answered in another era than the one it was sent
     * in is {@link TopicAnswer.Unknown}.
     *
     * @return the era
     */
    StoreEra era();

    /**
     * Reads the newest record of each key.
     *
     * @param part the partition
     * @param afterKey the last key of the page before; empty for the first page
     * @return a page
     */
    CompletableFuture<TopicAnswer<NewestPage>> newest(TopicPart part, String afterKey);

    /**
     * Reads records.
     *
     * @param part the partition
     * @param from the first offset wanted
     * @param waitMillis how long to wait when there is none yet
     * @return the records, none when the wait is over
     */
    CompletableFuture<TopicAnswer<RecordBatch>> read(TopicPart part, long from, long waitMillis);

    /**
     * Decodes a record of a topic that keeps the newest record of each key.
     *
     * @param bytes the record
     * @param offset where it stands
     * @return the record; empty when it can't be decoded
     */
    Optional<KeyedRecord> keyed(byte[] bytes, long offset);

    /**
     * Encodes a record of a topic that keeps the newest record of each key.
     *
     * @param key the key, 255 bytes at most
     * @param value the value; empty to drop the key
     * @return the record
     */
    byte[] keyed(String key, Optional<byte[]> value);

    /**
     * Appends records, all or nothing.
     *
     * @param part the partition
     * @param records their bytes
     * @param expectedEnd append only if the partition ends here; empty for no condition
     * @return the offset of the first
     */
    CompletableFuture<TopicAnswer<Long>> append(
            TopicPart part, List<byte[]> records, OptionalLong expectedEnd);
}
