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

/** A message between two daemons. */
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
     * The first message each way after the connection is authenticated.
     *
     * @param incarnation the sender
     * @param role {@code entry} or {@code target}
     * @param target the target, for a target daemon
     * @param configurationVersion the configuration in force at the sender, or -1
     */
    record Hello(
            IncarnationId incarnation,
            String role,
            Optional<TargetId> target,
            long configurationVersion)
            implements Message {}

    /**
     * What kind of call a request is.
     *
     * <p>A model call goes to the engine's OpenAI-style paths; a service call is passed on as it
     * is.
     */
    enum CallKind {
        MODEL,
        SERVICE
    }

    /**
     * Entry to target: run this attempt.
     *
     * @param attempt the attempt
     * @param account who asks
     * @param requestClass the class whose objectives hold
     * @param kind model or service call
     * @param model the model, for a model call
     * @param adapter the adapter, when one is asked for
     * @param idempotent whether the request may be run again
     * @param estimatedTokens the estimated cost in tokens, prompt and answer
     * @param waitLimitMillis how long the request may wait before its first token, from now
     * @param deadlineMillis how long all of it may take, from now
     * @param method the HTTP method
     * @param path path and query towards the engine or service
     * @param headers headers to pass on
     * @param body the body
     * @param stream whether the caller reads a stream
     * @param creditBytes how many bytes of answer the target may send before a {@link Credit}
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
     * Entry to target: the caller went away, or the deadline passed.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements Message {}

    /**
     * Entry to target: the caller has read this many bytes more.
     *
     * @param attempt the attempt
     * @param bytes how many
     */
    record Credit(AttemptId attempt, int bytes) implements Message {}

    /** Entry to target: send a load report, since none has ridden back for a while. */
    record LoadQuery() implements Message {}

    /**
     * Target to entry: the attempt did not run and never will.
     *
     * @param attempt the attempt
     * @param code why; its {@code ran} is always {@link Ran#NO}
     * @param retryAfterMillis when trying again makes sense, or -1
     * @param load the target's load
     */
    record Refused(AttemptId attempt, ErrorCode code, long retryAfterMillis, Load load)
            implements Message {}

    /**
     * Target to entry: the head of the answer.
     *
     * @param attempt the attempt
     * @param status the HTTP status
     * @param headers headers to pass on
     */
    record Started(AttemptId attempt, int status, Map<String, String> headers) implements Message {}

    /**
     * Target to entry: a part of the answer.
     *
     * @param attempt the attempt
     * @param sequence 0, 1, 2 and so on within the attempt
     * @param bytes the part
     */
    record Chunk(AttemptId attempt, int sequence, byte[] bytes) implements Message {}

    /**
     * Target to entry: the answer is whole.
     *
     * @param attempt the attempt
     * @param chunks how many chunks the answer had
     * @param promptTokens tokens read
     * @param answerTokens tokens generated
     * @param queuedMillis how long the attempt waited at the target
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
     * @param code what failed
     * @param ran whether it ran
     * @param load the target's load
     */
    record Failed(AttemptId attempt, ErrorCode code, Ran ran, Load load) implements Message {}

    /**
     * Target to entry: the target's load, unasked or after a {@link LoadQuery}.
     *
     * @param load the load
     */
    record LoadReport(Load load) implements Message {}

    /**
     * Target to entry: send no new work here.
     *
     * @param target the target
     */
    record Leaving(TargetId target) implements Message {}

    /**
     * Either way: send the configuration in force if it is newer.
     *
     * @param haveVersion the version in force at the sender, or -1
     */
    record ConfigurationQuery(long haveVersion) implements Message {}

    /**
     * Either way: a configuration in force at the sender.
     *
     * @param version its version
     * @param document the document as JSON
     */
    record ConfigurationOffer(long version, String document) implements Message {}

    /** Entry to entry: send what the ownership stream says, since the log can't be read. */
    record OwnershipQuery() implements Message {}

    /**
     * Records of a partition of a log, passed on so that the receiver need not read them itself.
     *
     * @param topic the topic
     * @param partition the partition's number
     * @param from the offset of the first
     * @param records their bytes in order; none when a read found nothing new
     * @param end where the partition ended
     * @param wholeAtMillis the time, by the receiver's steady clock, before which nothing was
     *     written beyond these records; {@link #UNKNOWN_MILLIS} when that can't be told
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

        /** A time before every other. */
        public static final long UNKNOWN_MILLIS = Long.MIN_VALUE / 2;

        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /**
     * What the steady clock of the sender shows, so that the receiver can state times by it.
     *
     * @param millis the sender's steady clock
     */
    record ClockReading(long millis) implements Message {}

    /**
     * Entry to entry: who owns which target.
     *
     * @param owned the owner in force of each target known at the sender
     */
    record OwnershipOffer(List<Owned> owned) implements Message {

        /** Copies the list. */
        public OwnershipOffer {
            owned = List.copyOf(owned);
        }
    }

    /**
     * The owner in force of a target.
     *
     * @param offset the offset of the record
     * @param taken the record
     * @param draining whether an operator asked the target to leave
     */
    record Owned(long offset, LogEntry.OwnershipTaken taken, boolean draining) {

        /** Checks the arguments. */
        public Owned {
            Objects.requireNonNull(taken, "taken is null");
        }
    }

    /**
     * A target's load at one moment.
     *
     * @param target the target
     * @param sequence grows with each report of the same incarnation
     * @param leaving whether it takes no new work
     * @param running requests running
     * @param queued requests waiting
     * @param waitMillis estimated wait for a new request, by class
     * @param resident the models in memory and ready
     * @param adapters the adapters in memory and ready
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
