package org.tamaracktrack.core.report;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;

/** The name of a counter in {@code CountersPublished}. Names are formatted and parsed only here. */
public sealed interface CounterName {

    /**
     * Returns the name as text: its parts joined by {@code |}, which identifiers can't contain.
     *
     * @return the text
     */
    String text();

    /**
     * The number of requests with a given outcome.
     *
     * @param account the client account
     * @param destination the requested model or plain service
     * @param requestClass the request class
     * @param outcome the outcome
     */
    record Requests(
            ClientAccountId account,
            String destination,
            RequestClassId requestClass,
            RequestOutcome outcome)
            implements CounterName {

        /** Checks the arguments. */
        public Requests {
            Objects.requireNonNull(account, "account is null");
            Objects.requireNonNull(destination, "destination is null");
            Objects.requireNonNull(requestClass, "requestClass is null");
            Objects.requireNonNull(outcome, "outcome is null");
        }

        @Override
        public String text() {
            return String.join(
                    "|",
                    "requests",
                    account.value(),
                    destination,
                    requestClass.value(),
                    outcome.text());
        }
    }

    /** The kinds of token: read from the prompt or generated as the answer. */
    enum TokenKind {
        PROMPT,
        ANSWER
    }

    /**
     * The number of tokens read or generated.
     *
     * @param account the client account
     * @param model the model
     * @param requestClass the request class
     * @param kind read or generated
     */
    record Tokens(
            ClientAccountId account, ModelId model, RequestClassId requestClass, TokenKind kind)
            implements CounterName {

        /** Checks the arguments. */
        public Tokens {
            Objects.requireNonNull(account, "account is null");
            Objects.requireNonNull(model, "model is null");
            Objects.requireNonNull(requestClass, "requestClass is null");
            Objects.requireNonNull(kind, "kind is null");
        }

        @Override
        public String text() {
            return String.join(
                    "|",
                    "tokens",
                    account.value(),
                    model.value(),
                    requestClass.value(),
                    kind.name().toLowerCase(Locale.ROOT));
        }
    }

    /**
     * The number of moves at a target.
     *
     * @param target the target
     * @param kind the kind of order
     * @param cause the reason for the move
     */
    record Moves(TargetId target, MoveKind kind, MoveCause cause) implements CounterName {

        /** Checks the arguments. */
        public Moves {
            Objects.requireNonNull(target, "target is null");
            Objects.requireNonNull(kind, "kind is null");
            Objects.requireNonNull(cause, "cause is null");
        }

        @Override
        public String text() {
            return String.join("|", "moves", target.value(), kind.text(), cause.text());
        }
    }

    /**
     * Parses a name.
     *
     * @param text the text
     * @return the name; empty for a name that this release does not know
     */
    static Optional<CounterName> parse(String text) {
        Objects.requireNonNull(text, "text is null");
        List<String> parts = List.of(text.split(Pattern.quote("|"), -1));
        try {
            return switch (parts.get(0)) {
                case "requests" -> requests(parts);
                case "tokens" -> tokens(parts);
                case "moves" -> moves(parts);
                default -> Optional.empty();
            };
        } catch (TamaracktrackException invalidIdentifier) {
            return Optional.empty();
        }
    }

    private static Optional<CounterName> requests(List<String> parts) {
        if (parts.size() != 5) {
            return Optional.empty();
        }
        return RequestOutcome.of(parts.get(4))
                .map(
                        outcome ->
                                new Requests(
                                        ClientAccountId.of(parts.get(1)),
                                        parts.get(2),
                                        RequestClassId.of(parts.get(3)),
                                        outcome));
    }

    private static Optional<CounterName> tokens(List<String> parts) {
        if (parts.size() != 5) {
            return Optional.empty();
        }
        return Arrays.stream(TokenKind.values())
                .filter(kind -> kind.name().toLowerCase(Locale.ROOT).equals(parts.get(4)))
                .findFirst()
                .map(
                        kind ->
                                new Tokens(
                                        ClientAccountId.of(parts.get(1)),
                                        ModelId.of(parts.get(2)),
                                        RequestClassId.of(parts.get(3)),
                                        kind));
    }

    private static Optional<CounterName> moves(List<String> parts) {
        if (parts.size() != 4) {
            return Optional.empty();
        }
        return MoveKind.of(parts.get(2))
                .flatMap(
                        kind ->
                                MoveCause.of(parts.get(3))
                                        .map(
                                                cause ->
                                                        new Moves(
                                                                TargetId.of(parts.get(1)),
                                                                kind,
                                                                cause)));
    }
}
