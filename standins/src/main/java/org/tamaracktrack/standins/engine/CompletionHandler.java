package org.tamaracktrack.standins.engine;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.tamaracktrack.standins.http.AnswerCutter;
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.BadCallException;
import org.tamaracktrack.standins.http.CallerWatch;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.service.RunCounter;

/** Answers completion requests. */
final class CompletionHandler implements HttpHandler {
    private static final BatchScheduler.Token GONE = new BatchScheduler.Token(-1, -1, true);

    private final MemoryBook memory;
    private final Batcher batcher;
    private final PrefixCache prefixes;
    private final RunCounter runs;
    private final RunCounter byPrompt;
    private final Gate gate;
    private final AnswerCutter cutter;

    CompletionHandler(
            MemoryBook memory,
            Batcher batcher,
            PrefixCache prefixes,
            RunCounter runs,
            RunCounter byPrompt,
            Gate gate,
            AnswerCutter cutter) {
        this.memory = memory;
        this.batcher = batcher;
        this.prefixes = prefixes;
        this.runs = runs;
        this.byPrompt = byPrompt;
        this.gate = gate;
        this.cutter = cutter;
    }

    private final class Tokens implements Batcher.Sink {
        private final CompletionCall call;
        private final BlockingQueue<BatchScheduler.Token> queue = new LinkedBlockingQueue<>();

        private Tokens(CompletionCall call) {
            this.call = call;
        }

        @Override
        public void onStarted() {
            runs.count(call.requestId());
            byPrompt.count(call.promptHash());
        }

        @Override
        public void onToken(BatchScheduler.Token token) {
            queue.add(token);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        CompletionCall call = CompletionCall.read(exchange);
        gate.pass();
        Tokens tokens = new Tokens(call);
        long number = submit(call, tokens);
        CallerWatch watch = CallerWatch.start(exchange, () -> tokens.queue.add(GONE));
        try {
            write(exchange, call, tokens, watch);
        } finally {
            batcher.cancel(number);
        }
    }

    private long submit(CompletionCall call, Tokens tokens) {
        int promptTokens;
        synchronized (prefixes) {
            promptTokens = prefixes.read(call.model(), call.prompt());
        }
        JobShape shape =
                new JobShape(
                        call.model(),
                        call.priority(),
                        promptTokens + call.firstToken(),
                        call.firstToken(),
                        call.tokens());
        Optional<Long> number = batcher.submit(shape, () -> ready(call), tokens);
        if (number.isEmpty()) {
            throw BadCallException.of(404, missing(call));
        }
        if (number.get() < 0) {
            throw BadCallException.of(503, "busy");
        }
        return number.get();
    }

    private boolean ready(CompletionCall call) {
        synchronized (memory) {
            return call.adapter()
                    .map(adapter -> memory.ready(call.model(), adapter))
                    .orElseGet(() -> memory.ready(call.model()));
        }
    }

    private String missing(CompletionCall call) {
        synchronized (memory) {
            return memory.ready(call.model()) ? "adapter_not_loaded" : "model_not_loaded";
        }
    }

    private void write(
            HttpServerExchange exchange, CompletionCall call, Tokens tokens, CallerWatch watch)
            throws IOException, InterruptedException {
        CompletionWriter writer = CompletionWriter.begin(call, exchange, cutter);
        BatchScheduler.Token token;
        do {
            token = tokens.queue.take();
            if (token.equals(GONE)) {
                Answers.drop(exchange);
                return;
            }
            gate.pass();
            writer.token(token.index(), token.last());
        } while (!token.last());
        watch.stop();
        writer.end();
    }
}
