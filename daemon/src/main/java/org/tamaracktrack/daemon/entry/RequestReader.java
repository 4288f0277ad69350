package org.tamaracktrack.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.tamaracktrack.core.claim.KeyAge;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.routing.RoutingQuery;
import org.tamaracktrack.link.codec.Codecs;

/** Validates a caller's HTTP request against its account and builds the request for a target. */
final class RequestReader {
    static final String SERVICES_PATH = "/v1/services/";
    private static final String CLASS_HEADER = "x-request-class";
    private static final String IDEMPOTENT_HEADER = "x-idempotent";
    private static final String KEY_HEADER = "idempotency-key";
    private static final String KEY_CREATED_HEADER = "idempotency-key-created";
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final int PREFIX_CHARACTERS = 512;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int DEFAULT_ANSWER_TOKENS = 128;
    private static final int MAX_ANSWER_TOKENS = 1_000_000;
    private static final int SERVICE_CALL_TOKENS = 100;
    private static final Set<String> UNFORWARDED_HEADERS =
            Set.of(
                    "authorization",
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "x-request-id",
                    CLASS_HEADER,
                    IDEMPOTENT_HEADER,
                    KEY_CREATED_HEADER);

    private final Configuration configuration;
    private final Configuration.ClientAccount account;
    private final CallerHttpRequest http;

    private RequestReader(
            Configuration configuration,
            Configuration.ClientAccount account,
            CallerHttpRequest http) {
        this.configuration = configuration;
        this.account = account;
        this.http = http;
    }

    /**
     * Returns the validated request.
     *
     * @throws TamaracktrackException if the request is invalid, with the error code for the caller
     */
    static CallerRequest read(
            Configuration configuration,
            Configuration.ClientAccount account,
            CallerHttpRequest http) {
        RequestReader reader = new RequestReader(configuration, account, http);
        return http.path().startsWith(SERVICES_PATH)
                ? reader.readServiceRequest()
                : reader.readModelRequest();
    }

    private CallerRequest readModelRequest() {
        JsonNode body = Codecs.decode(Codecs.json(), http.body(), JsonNode.class);
        if (!body.isObject()) {
            throw badRequest("the body is not a JSON object");
        }
        String[] names = requiredText(body, "model").split("\\+", 2);
        ModelId model = modelOf(names[0]);
        Optional<AdapterId> adapter =
                names.length < 2 ? Optional.empty() : Optional.of(adapterOf(names[1], model));
        Configuration.RequestClass requestClass = requestClass();
        String prompt = promptOf(body);
        boolean idempotent =
                idempotentHeader().orElse(keyHeader().isEmpty() && account.idempotentByDefault());
        return new CallerRequest(
                account,
                requestClass,
                RoutingQuery.model(requestClass.id(), model, adapter, prefixHash(prompt)),
                idempotent,
                idempotent ? Optional.empty() : idempotencyKey(),
                isStreaming(body),
                http.method(),
                http.path() + http.query(),
                Map.of("content-type", "application/json"),
                http.body(),
                prompt.length() / CHARACTERS_PER_TOKEN + maximumAnswerTokens(body));
    }

    private CallerRequest readServiceRequest() {
        String serviceAndPath = http.path().substring(SERVICES_PATH.length());
        int slashIndex = serviceAndPath.indexOf('/');
        String name = slashIndex < 0 ? serviceAndPath : serviceAndPath.substring(0, slashIndex);
        Configuration.Service service = serviceOf(name);
        Configuration.RequestClass requestClass = requestClass();
        // The configuration lists the methods of a service that may be repeated. A caller may
        // exclude its request from that but not add to it: a header must not allow, for example,
        // a charge to be made twice.
        boolean idempotent =
                service.repeatableMethods().contains(http.method())
                        && idempotentHeader().orElse(keyHeader().isEmpty());
        return new CallerRequest(
                account,
                requestClass,
                RoutingQuery.service(requestClass.id(), service.id()),
                idempotent,
                idempotent ? Optional.empty() : idempotencyKey(),
                http.header("accept").filter(type -> type.contains("event-stream")).isPresent(),
                http.method(),
                (slashIndex < 0 ? "/" : serviceAndPath.substring(slashIndex)) + http.query(),
                forwardedHeaders(),
                http.body(),
                SERVICE_CALL_TOKENS);
    }

    private Map<String, String> forwardedHeaders() {
        return http.headers().entrySet().stream()
                .filter(header -> !UNFORWARDED_HEADERS.contains(header.getKey()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private ModelId modelOf(String name) {
        return parseIdentifier(() -> ModelId.of(name))
                .filter(account.models()::contains)
                .filter(configuration.models()::containsKey)
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.UNKNOWN_MODEL, "this account has no such model"));
    }

    private AdapterId adapterOf(String name, ModelId base) {
        return parseIdentifier(() -> AdapterId.of(name))
                .filter(account.adapters()::contains)
                .filter(
                        adapter ->
                                Optional.ofNullable(configuration.adapters().get(adapter))
                                        .filter(known -> known.base().equals(base))
                                        .isPresent())
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.UNKNOWN_ADAPTER,
                                        "this account has no such adapter of the model"));
    }

    private Configuration.Service serviceOf(String name) {
        return parseIdentifier(() -> ServiceId.of(name))
                .filter(account.services()::contains)
                .map(configuration.services()::get)
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.UNKNOWN_SERVICE,
                                        "this account has no such service"));
    }

    private static <T> Optional<T> parseIdentifier(java.util.function.Supplier<T> parser) {
        try {
            return Optional.of(parser.get());
        } catch (TamaracktrackException badIdentifier) {
            return Optional.empty();
        }
    }

    private Configuration.RequestClass requestClass() {
        RequestClassId id =
                http.header(CLASS_HEADER)
                        .map(name -> parseIdentifier(() -> RequestClassId.of(name)))
                        .orElse(Optional.of(account.defaultClass()))
                        .filter(classId -> isAllowed(classId))
                        .orElseThrow(
                                () ->
                                        TamaracktrackException.of(
                                                ErrorCode.UNKNOWN_CLASS,
                                                "this account has no such request class"));
        return configuration.classes().get(id);
    }

    private boolean isAllowed(RequestClassId id) {
        return configuration.classes().containsKey(id)
                && (account.classes().contains(id) || account.defaultClass().equals(id));
    }

    private Optional<Boolean> idempotentHeader() {
        return http.header(IDEMPOTENT_HEADER)
                .map(
                        text -> {
                            if (!Set.of("true", "false").contains(text)) {
                                throw badRequest("X-Idempotent is neither true nor false");
                            }
                            return Boolean.valueOf(text);
                        });
    }

    private Optional<String> keyHeader() {
        Optional<String> key = http.header(KEY_HEADER);
        if (key.filter(text -> text.isEmpty() || text.length() > MAX_KEY_CHARACTERS).isPresent()) {
            throw badRequest("Idempotency-Key has 1 to " + MAX_KEY_CHARACTERS + " characters");
        }
        return key;
    }

    private Optional<CallerRequest.IdempotencyKey> idempotencyKey() {
        return keyHeader().map(this::keyOf);
    }

    private CallerRequest.IdempotencyKey keyOf(String text) {
        OptionalLong created = KeyAge.createdAtMillis(text, http.header(KEY_CREATED_HEADER));
        byte[] requestLine =
                (http.method() + " " + http.path() + http.query() + "\n")
                        .getBytes(StandardCharsets.UTF_8);
        return new CallerRequest.IdempotencyKey(
                Hashes.sha256(text), Hashes.sha256(requestLine, http.body()), created);
    }

    private static String requiredText(JsonNode body, String field) {
        return Optional.ofNullable(body.get(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .orElseThrow(() -> badRequest(field + " is missing or not a string"));
    }

    private static boolean isStreaming(JsonNode body) {
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw badRequest("stream is neither true nor false");
        }
        return stream.asBoolean(false);
    }

    private static int maximumAnswerTokens(JsonNode body) {
        JsonNode maximum = body.path("max_tokens");
        if (maximum.isMissingNode() || maximum.isNull()) {
            return DEFAULT_ANSWER_TOKENS;
        }
        if (!maximum.canConvertToInt()
                || maximum.asInt() < 1
                || maximum.asInt() > MAX_ANSWER_TOKENS) {
            throw badRequest("max_tokens is not a number from 1 to " + MAX_ANSWER_TOKENS);
        }
        return maximum.asInt();
    }

    private static String promptOf(JsonNode body) {
        if (body.path("prompt").isTextual()) {
            return body.path("prompt").asText();
        }
        return StreamSupport.stream(body.path("messages").spliterator(), false)
                .map(message -> message.path("content"))
                .map(content -> content.isTextual() ? content.asText() : content.toString())
                .collect(Collectors.joining("\n"));
    }

    private static OptionalLong prefixHash(String prompt) {
        return prompt.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(
                        prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()))
                                .hashCode());
    }

    private static TamaracktrackException badRequest(String message) {
        return TamaracktrackException.of(ErrorCode.BAD_REQUEST, message);
    }
}
