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

/** Checks a caller's HTTP request against its account and makes it a request for a target. */
final class RequestReader {
    static final String SERVICES_PATH = "/v1/services/";
    private static final String CLASS_HEADER = "x-request-class";
    private static final String IDEMPOTENT_HEADER = "x-idempotent";
    private static final String KEY_HEADER = "idempotency-key";
    private static final String KEY_CREATED_HEADER = "idempotency-key-created";
    private static final int LONGEST_KEY = 255;
    private static final int PREFIX_CHARACTERS = 512;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int DEFAULT_ANSWER_TOKENS = 128;
    private static final int MOST_ANSWER_TOKENS = 1_000_000;
    private static final int SERVICE_CALL_TOKENS = 100;
    private static final Set<String> KEPT_BACK =
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
    private final CallerHttp http;

    private RequestReader(
            Configuration configuration, Configuration.ClientAccount account, CallerHttp http) {
        this.configuration = configuration;
        this.account = account;
        this.http = http;
    }

    /** Throws a {@link TamaracktrackException} with the code that the caller is to see. */
    static CallerRequest read(
            Configuration configuration, Configuration.ClientAccount account, CallerHttp http) {
        RequestReader reader = new RequestReader(configuration, account, http);
        return http.path().startsWith(SERVICES_PATH) ? reader.service() : reader.model();
    }

    private CallerRequest model() {
        JsonNode body = Codecs.decode(Codecs.json(), http.body(), JsonNode.class);
        if (!body.isObject()) {
            throw badRequest("the body is not a JSON object");
        }
        String[] names = text(body, "model").split("\\+", 2);
        ModelId model = modelOf(names[0]);
        Optional<AdapterId> adapter =
                names.length < 2 ? Optional.empty() : Optional.of(adapterOf(names[1], model));
        Configuration.RequestClass requestClass = requestClass();
        String prompt = promptOf(body);
        boolean idempotent =
                idempotentHeader().orElse(keyText().isEmpty() && account.idempotentByDefault());
        return new CallerRequest(
                account,
                requestClass,
                RoutingQuery.model(requestClass.id(), model, adapter, prefix(prompt)),
                idempotent,
                idempotent ? Optional.empty() : key(),
                stream(body),
                http.method(),
                http.path() + http.query(),
                Map.of("content-type", "application/json"),
                http.body(),
                prompt.length() / CHARACTERS_PER_TOKEN + answerTokens(body));
    }

    private CallerRequest service() {
        String rest = http.path().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        Configuration.Service service = serviceOf(name);
        Configuration.RequestClass requestClass = requestClass();
        // The operator says which methods of a service may be repeated; a caller may narrow that
        // and not widen it, since a repeated charge is not undone by a header.
        boolean idempotent =
                service.repeatableMethods().contains(http.method())
                        && idempotentHeader().orElse(keyText().isEmpty());
        return new CallerRequest(
                account,
                requestClass,
                RoutingQuery.service(requestClass.id(), service.id()),
                idempotent,
                idempotent ? Optional.empty() : key(),
                http.header("accept").filter(type -> type.contains("event-stream")).isPresent(),
                http.method(),
                (slash < 0 ? "/" : rest.substring(slash)) + http.query(),
                passedOn(),
                http.body(),
                SERVICE_CALL_TOKENS);
    }

    private Map<String, String> passedOn() {
        return http.headers().entrySet().stream()
                .filter(header -> !KEPT_BACK.contains(header.getKey()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private ModelId modelOf(String name) {
        return identified(() -> ModelId.of(name))
                .filter(account.models()::contains)
                .filter(configuration.models()::containsKey)
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.UNKNOWN_MODEL, "this account has no such model"));
    }

    private AdapterId adapterOf(String name, ModelId base) {
        return identified(() -> AdapterId.of(name))
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
        return identified(() -> ServiceId.of(name))
                .filter(account.services()::contains)
                .map(configuration.services()::get)
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.UNKNOWN_SERVICE,
                                        "this account has no such service"));
    }

    private static <T> Optional<T> identified(java.util.function.Supplier<T> reader) {
        try {
            return Optional.of(reader.get());
        } catch (TamaracktrackException badIdentifier) {
            return Optional.empty();
        }
    }

    private Configuration.RequestClass requestClass() {
        RequestClassId id =
                http.header(CLASS_HEADER)
                        .map(name -> identified(() -> RequestClassId.of(name)))
                        .orElse(Optional.of(account.defaultClass()))
                        .filter(name -> allowed(name))
                        .orElseThrow(
                                () ->
                                        TamaracktrackException.of(
                                                ErrorCode.UNKNOWN_CLASS,
                                                "this account has no such request class"));
        return configuration.classes().get(id);
    }

    private boolean allowed(RequestClassId id) {
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

    private Optional<String> keyText() {
        Optional<String> key = http.header(KEY_HEADER);
        if (key.filter(text -> text.isEmpty() || text.length() > LONGEST_KEY).isPresent()) {
            throw badRequest("Idempotency-Key has 1 to " + LONGEST_KEY + " characters");
        }
        return key;
    }

    private Optional<CallerRequest.Key> key() {
        return keyText().map(this::keyOf);
    }

    private CallerRequest.Key keyOf(String text) {
        OptionalLong created = KeyAge.createdAtMillis(text, http.header(KEY_CREATED_HEADER));
        byte[] head =
                (http.method() + " " + http.path() + http.query() + "\n")
                        .getBytes(StandardCharsets.UTF_8);
        return new CallerRequest.Key(
                Hashes.sha256(text), Hashes.sha256(head, http.body()), created);
    }

    private static String text(JsonNode body, String field) {
        return Optional.ofNullable(body.get(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .orElseThrow(() -> badRequest(field + " is missing or not a string"));
    }

    private static boolean stream(JsonNode body) {
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw badRequest("stream is neither true nor false");
        }
        return stream.asBoolean(false);
    }

    private static int answerTokens(JsonNode body) {
        JsonNode most = body.path("max_tokens");
        if (most.isMissingNode() || most.isNull()) {
            return DEFAULT_ANSWER_TOKENS;
        }
        if (!most.canConvertToInt() || most.asInt() < 1 || most.asInt() > MOST_ANSWER_TOKENS) {
            throw badRequest("max_tokens is not a number from 1 to " + MOST_ANSWER_TOKENS);
        }
        return most.asInt();
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

    private static OptionalLong prefix(String prompt) {
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
