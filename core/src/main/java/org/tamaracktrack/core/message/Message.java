package org.tamaracktrack.core.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;

/** A message between two daemons, encoded in MessagePack by its component names. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Message.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = Message.Submit.class, name = "submit"),
    @JsonSubTypes.Type(value = Message.Cancel.class, name = "cancel"),
    @JsonSubTypes.Type(value = Message.Credit.class, name = "credit"),
    @JsonSubTypes.Type(value = Message.LoadQuery.class, name = "loadQuery"),
    @JsonSubTypes.Type(value = Message.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = Message.Started.class, name = "started"),
    @JsonSubTypes.Type(value = Message.Chunk.class, name = "chunk"),
    @JsonSubTypes.Type(value = Message.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = Message.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = Message.LoadReport.class, name = "load"),
    @JsonSubTypes.Type(value = Message.Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = Message.ConfigurationQuery.class, name = "configurationQuery"),
    @JsonSubTypes.Type(value = Message.ConfigurationOffer.class, name = "configurationOffer"),
    @JsonSubTypes.Type(value = Message.OwnershipQuery.class, name = "ownershipQuery"),
    @JsonSubTypes.Type(value = Message.OwnershipOffer.class, name = "ownershipOffer"),
    @JsonSubTypes.Type(value = Message.Records.class, name = "records"),
    @JsonSubTypes.Type(value = Message.ClockReading.class, name = "clockReading"),
})
public sealed interface Message {

    /**
     * The first message in each direction after the connection is authenticated.
     *
     * @param incarnation the sending process
     * @param role {@code entry} or {@code target}
     * @param target the target; present only if the sender is a target daemon
     * @param configurationVersion the version in force at the sender, or -1 if there is none
     */
    record Hello(
            IncarnationId incarnation,
            String role,
            Optional<TargetId> target,
            long configurationVersion)
            implements Message {}

    /**
     * The kind of call that a request makes.
     *
     * <p>A model call goes to the engine's OpenAI-compatible paths; a service call is forwarded
     * unchanged.
     */
    enum CallKind {
        MODEL,
        SERVICE
    }

    /**
     * Entry to target: execute this attempt.
     *
     * @param attempt the attempt
     * @param account the client account of the caller
     * @param requestClass the class whose objectives apply
     * @param kind model or service call
     * @param model the model, for a model call
     * @param adapter the adapter, if the request names one
     * @param idempotent whether the request may be executed more than once
     * @param estimatedTokens the estimated cost in tokens, prompt and answer
     * @param waitLimitMillis the time until the first token is due, from the sending of this
     *     message
     * @param deadlineMillis the time until the answer must end, from the sending of this message
     * @param method the HTTP method
     * @param path the path and query for the engine or service
     * @param headers the headers to forward
     * @param body the body
     * @param stream whether the caller requests a streamed answer
     * @param creditBytes the number of answer bytes that the target may send before a {@link
     *     Credit}
     */
    record Submit(
            AttemptId attempt,
            ClientAccountId account,
            RequestClassId requestClass,
            CallKind kind,
            Optional<ModelId> model,
            Optional<AdapterId> adapter,
            boolean idempotent,
            int estimatedTokens,
            long waitLimitMillis,
            long deadlineMillis,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            boolean stream,
            int creditBytes)
            implements Message {

        /** Checks the arguments. */
        public Submit {
            Objects.requireNonNull(attempt, "attempt is null");
            Objects.requireNonNull(body, "body is null");
            headers = Map.copyOf(headers);
        }
    }

    /**
     * Entry to target: cancel the attempt, since the caller disconnected or the deadline passed.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements Message {}

    /**
     * Entry to target: the caller has read more of the answer, so more of it may be sent.
     *
     * @param attempt the attempt
     * @param bytes the number of bytes read since the previous credit
     */
    record Credit(AttemptId attempt, int bytes) implements Message {}

    /** Entry to target: send a load report, since no recent answer included one. */
    record LoadQuery() implements Message {}

    /**
     * Target to entry: the attempt did not run and will not run.
     *
     * @param attempt the attempt
     * @param code the reason; its {@code ran} is always {@link Ran#NO}
     * @param retryAfterMillis the time after which a retry may succeed, or -1 if not known
     * @param load the target's load
     */
    record Refused(AttemptId attempt, ErrorCode code, long retryAfterMillis, Load load)
            implements Message {}

    /**
     * Target to entry: the head of the answer.
     *
     * @param attempt the attempt
     * @param status the HTTP status
     * @param headers the headers to forward
     */
    record Started(AttemptId attempt, int status, Map<String, String> headers) implements Message {}

    /**
     * Target to entry: a part of the answer.
     *
     * @param attempt the attempt
     * @param sequence the number of the part within the attempt, from 0
     * @param bytes the part
     */
    record Chunk(AttemptId attempt, int sequence, byte[] bytes) implements Message {}

    /**
     * Target to entry: the answer is complete.
     *
     * @param attempt the attempt
     * @param chunks the number of chunks of the answer
     * @param promptTokens the number of prompt tokens read
     * @param answerTokens the number of tokens generated
     * @param queuedMillis the time for which the attempt was queued at the target
     * @param load the target's load
     */
    record Finished(
            AttemptId attempt,
            int chunks,
            int promptTokens,
            int answerTokens,
            long queuedMillis,
            Load load)
            implements Message {}

    /**
     * Target to entry: the attempt failed after it may have started.
     *
     * @param attempt the attempt
     * @param code the kind of failure
     * @param ran whether the request ran
     * @param load the target's load
     */
    record Failed(AttemptId attempt, ErrorCode code, Ran ran, Load load) implements Message {}

    /**
     * Target to entry: the target's load, sent unsolicited or after a {@link LoadQuery}.
     *
     * @param load the load
     */
    record LoadReport(Load load) implements Message {}

    /**
     * Target to entry: the target is leaving, so send it no further requests.
     *
     * @param target the target
     */
    record Leaving(TargetId target) implements Message {}

    /**
     * Either direction: send the configuration in force if it is newer.
     *
     * @param haveVersion the version in force at the sender, or -1 if there is none
     */
    record ConfigurationQuery(long haveVersion) implements Message {}

    /**
     * Either direction: the configuration in force at the sender.
     *
     * @param version its version
     * @param document the document as JSON
     */
    record ConfigurationOffer(long version, String document) implements Message {}

    /** Entry to entry: send the known owners of targets, since the log can't be read. */
    record OwnershipQuery() implements Message {}

    /**
     * Records of a partition of a log, forwarded so that the receiver need not read them itself.
     *
     * @param topic the topic
     * @param partition the partition's number
     * @param from the offset of the first record
     * @param records the bytes of the records in order; empty when a read found nothing new
     * @param end the end offset of the partition
     * @param wholeAtMillis the time, by the receiver's monotonic clock, up to which the partition
     *     had no records beyond these; {@link #UNKNOWN_MILLIS} when it is not known
     * @param era the era of the log that the offsets belong to
     */
    record Records(
            String topic,
            int partition,
            long from,
            List<byte[]> records,
            long end,
            long wholeAtMillis,
            long era)
            implements Message {

        /** Stands for a time that is not known; earlier than every actual time. */
        public static final long UNKNOWN_MILLIS = Long.MIN_VALUE / 2;

        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /**
     * The reading of the sender's monotonic clock, so that the receiver can convert times to it.
     *
     * @param millis the reading
     */
    record ClockReading(long millis) implements Message {}

    /**
     * Entry to entry: the current owners of targets.
     *
     * @param owned the current owner of each target that the sender knows
     */
    record OwnershipOffer(List<Owned> owned) implements Message {

        /** Copies the list. */
        public OwnershipOffer {
            owned = List.copyOf(owned);
        }
    }

    /**
     * The current owner of a target.
     *
     * @param offset the offset of the ownership record, which is the fencing number
     * @param taken the ownership record
     * @param draining whether an operator requested that the target be drained
     */
    record Owned(long offset, LogEntry.OwnershipTaken taken, boolean draining) {

        /** Checks the arguments. */
        public Owned {
            Objects.requireNonNull(taken, "taken is null");
        }
    }

    /**
     * The load of a target at one time.
     *
     * @param target the target
     * @param sequence increases with each report of the same incarnation
     * @param leaving whether the target accepts no further requests
     * @param running the number of running requests
     * @param queued the number of queued requests
     * @param waitMillis the estimated wait of a new request, by class
     * @param resident the models that are loaded and ready
     * @param adapters the adapters that are loaded and ready
     * @param loading the models being loaded
     */
    record Load(
            TargetId target,
            long sequence,
            boolean leaving,
            int running,
            int queued,
            Map<RequestClassId, Long> waitMillis,
            List<ModelId> resident,
            List<AdapterId> adapters,
            List<ModelId> loading) {

        /** Copies the collections. */
        public Load {
            Objects.requireNonNull(target, "target is null");
            waitMillis = Map.copyOf(waitMillis);
            resident = List.copyOf(resident);
            adapters = List.copyOf(adapters);
            loading = List.copyOf(loading);
        }
    }
}
