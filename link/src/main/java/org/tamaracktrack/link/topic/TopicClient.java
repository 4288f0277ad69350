package org.tamaracktrack.link.topic;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the store's topics. Calls are not retried. Futures are completed on an input/output
 * thread and never exceptionally: every failure is a {@link TopicAnswer}.
 */
public interface TopicClient {

    /**
     * Returns the tracker of the store's era. The outcome of a call that is answered in another era
     * than the one in which it was sent is {@link TopicAnswer.Unknown}.
     *
     * @return the era
     */
    StoreEra era();

    /**
     * Reads the newest record of each key.
     *
     * @param part the partition
     * @param afterKey the last key of the previous page; empty for the first page
     * @return one page of records
     */
    CompletableFuture<TopicAnswer<NewestPage>> newest(TopicPart part, String afterKey);

    /**
     * Reads records from an offset on.
     *
     * @param part the partition
     * @param from the first offset to read
     * @param waitMillis how long to wait if there is no record yet, in milliseconds
     * @return the records; none if the wait ended without one
     */
    CompletableFuture<TopicAnswer<RecordBatch>> read(TopicPart part, long from, long waitMillis);

    /**
     * Decodes a record of a compacted topic, which keeps the newest record of each key.
     *
     * @param bytes the encoded record
     * @param offset the offset of the record
     * @return the record; empty if it can't be decoded
     */
    Optional<KeyedRecord> keyed(byte[] bytes, long offset);

    /**
     * Encodes a record of a compacted topic, which keeps the newest record of each key.
     *
     * @param key the key, at most 255 bytes
     * @param value the value; empty to remove the key
     * @return the record
     */
    byte[] keyed(String key, Optional<byte[]> value);

    /**
     * Appends records atomically.
     *
     * @param part the partition
     * @param records the encoded records
     * @param expectedEnd the end offset at which the partition must be for the append to take
     *     effect; empty for no condition
     * @return the offset of the first record
     */
    CompletableFuture<TopicAnswer<Long>> append(
            TopicPart part, List<byte[]> records, OptionalLong expectedEnd);
}
