package org.tamaracktrack.standins.engine;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.tamaracktrack.standins.http.DisconnectMonitor;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.http.HttpErrorException;
import org.tamaracktrack.standins.http.HttpExchanges;
import org.tamaracktrack.standins.http.ResponseTruncator;
import org.tamaracktrack.standins.service.RunCounter;

/** Handles completion requests. */
final class CompletionHandler implements HttpHandler {
    private static final BatchScheduler.Token DISCONNECTED = new BatchScheduler.Token(-1, -1, true);

    private final AcceleratorMemory memory;
    private final BatchRunner batchRunner;
    private final PrefixCache prefixCache;
    private final RunCounter runsByRequest;
    private final RunCounter runsByPrompt;
    private final Gate gate;
    private final ResponseTruncator truncator;

    CompletionHandler(
            AcceleratorMemory memory,
            BatchRunner batchRunner,
            PrefixCache prefixCache,
            RunCounter runsByRequest,
            RunCounter runsByPrompt,
            Gate gate,
            ResponseTruncator truncator) {
        this.memory = memory;
        this.batchRunner = batchRunner;
        this.prefixCache = prefixCache;
        this.runsByRequest = runsByRequest;
        this.runsByPrompt = runsByPrompt;
        this.gate = gate;
        this.truncator = truncator;
    }

    private final class TokenQueue implements BatchRunner.Listener {
        private final CompletionCall call;
        private final BlockingQueue<BatchScheduler.Token> queue = new LinkedBlockingQueue<>();

        private TokenQueue(CompletionCall call) {
            this.call = call;
        }

        @Override
        public void onStarted() {
            runsByRequest.increment(call.requestId());
            runsByPrompt.increment(call.promptHash());
        }

        @Override
        public void onToken(BatchScheduler.Token token) {
            queue.add(token);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        CompletionCall call = CompletionCall.read(exchange);
        gate.awaitOpen();
        TokenQueue tokens = new TokenQueue(call);
        long number = submit(call, tokens);
        DisconnectMonitor monitor =
                DisconnectMonitor.start(exchange, () -> tokens.queue.add(DISCONNECTED));
        try {
            write(exchange, call, tokens, monitor);
        } finally {
            batchRunner.cancel(number);
        }
    }

    private long submit(CompletionCall call, TokenQueue tokens) {
        int promptTokens;
        synchronized (prefixCache) {
            promptTokens = prefixCache.promptCostTokens(call.model(), call.prompt());
        }
        JobRequest request =
                new JobRequest(
                        call.model(),
                        call.priority(),
                        promptTokens + call.firstToken(),
                        call.firstToken(),
                        call.tokens());
        Optional<Long> number = batchRunner.submit(request, () -> isReady(call), tokens);
        if (number.isEmpty()) {
            throw HttpErrorException.of(404, notLoadedCode(call));
        }
        if (number.get() < 0) {
            throw HttpErrorException.of(503, "busy");
        }
        return number.get();
    }

    private boolean isReady(CompletionCall call) {
        synchronized (memory) {
            return call.adapter()
                    .map(adapter -> memory.isReady(call.model(), adapter))
                    .orElseGet(() -> memory.isReady(call.model()));
        }
    }

    private String notLoadedCode(CompletionCall call) {
        synchronized (memory) {
            return memory.isReady(call.model()) ? "adapter_not_loaded" : "model_not_loaded";
        }
    }

    private void write(
            HttpServerExchange exchange,
            CompletionCall call,
            TokenQueue tokens,
            DisconnectMonitor monitor)
            throws IOException, InterruptedException {
        CompletionWriter writer = CompletionWriter.begin(call, exchange, truncator);
        BatchScheduler.Token token;
        do {
            token = tokens.queue.take();
            if (token.equals(DISCONNECTED)) {
                HttpExchanges.closeConnection(exchange);
                return;
            }
            gate.awaitOpen();
            writer.writeToken(token.index(), token.last());
        } while (!token.last());
        monitor.stop();
        writer.finish();
    }
}
