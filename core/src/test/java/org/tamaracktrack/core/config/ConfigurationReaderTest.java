package org.tamaracktrack.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.tamaracktrack.core.config.SampleDocument.at;
import static org.tamaracktrack.core.config.SampleDocument.list;
import static org.tamaracktrack.core.config.SampleDocument.map;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.Configuration.ClientAccount;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

class ConfigurationReaderTest {
    private final Map<String, Object> tree = SampleDocument.tree();

    private ConfigurationReading.Accepted accepted() {
        ConfigurationReading reading = ConfigurationReader.read(tree);
        assertThat(reading).isInstanceOf(ConfigurationReading.Accepted.class);
        return (ConfigurationReading.Accepted) reading;
    }

    private List<Problem> problems() {
        ConfigurationReading reading = ConfigurationReader.read(tree);
        assertThat(reading).isInstanceOf(ConfigurationReading.Rejected.class);
        return ((ConfigurationReading.Rejected) reading).problems();
    }

    private Problem onlyProblem() {
        List<Problem> problems = problems();
        assertThat(problems).hasSize(1);
        return problems.get(0);
    }

    private List<WarningKind> warnings() {
        return accepted().warnings().stream().map(Warning::kind).toList();
    }

    @Nested
    class Templates {
        @Test
        void shouldMakeAccountsFromOneTemplateWhenParametersDiffer() {
            at(tree, "accounts", "south-stores", "parameters").put("share", 3);

            Map<ClientAccountId, ClientAccount> accounts = accepted().configuration().accounts();

            assertThat(accounts).hasSize(2);
            ClientAccount south = accounts.get(ClientAccountId.of("south-stores"));
            assertThat(south.share()).isEqualTo(3);
            assertThat(south.models()).containsExactly(ModelId.of("reader"), ModelId.of("writer"));
            assertThat(accounts.get(ClientAccountId.of("north-stores")).share()).isEqualTo(1);
        }

        @Test
        void shouldUseTheDocumentsParameterWhenATargetNamesIt() {
            at(tree, "parameters").put("engineOne", "10.1.2.3:8000");

            assertThat(accepted().configuration().targets().get(TargetId.of("engine-1")).endpoint())
                    .isEqualTo("10.1.2.3:8000");
        }

        @Test
        void shouldReportOnceWhenARequiredParameterIsNotGiven() {
            at(tree, "accounts", "north-stores", "parameters").remove("key");

            Problem problem = onlyProblem();

            assertThat(problem.path()).isEqualTo("accounts.north-stores.parameters.key");
            assertThat(problem.kind()).isEqualTo(ProblemKind.MISSING);
        }

        @Test
        void shouldReportWhenTheTemplateDoesNotDeclareAParameter() {
            at(tree, "accounts", "north-stores", "parameters").put("shares", 3);

            assertThat(onlyProblem().allowed()).isEqualTo("one of key, models, share");
        }

        @Test
        void shouldReportWhenAReferenceHasNoValue() {
            at(tree, "targets", "engine-2").put("endpoint", "${engineTwo}");

            assertThat(onlyProblem().kind()).isEqualTo(ProblemKind.UNSET_PARAMETER);
        }

        @Test
        void shouldKeepTheTextWhenTheReferenceIsEscaped() {
            at(tree, "models", "reader").put("version", "$${x}");

            assertThat(onlyProblem().found()).isEqualTo("text \"${x}\"");
        }
    }

    @Nested
    class Problems {
        @Test
        void shouldReportEveryProblemWhenThereAreSeveral() {
            tree.remove("moveCost");
            at(tree, "classes", "batch").put("weight", "heavy");
            at(tree, "targets", "engine-2").put("endpoint", "localhost:80");
            at(tree, "adapters", "north").put("base", "nothing");
            at(tree, "services", "orders").put("method", "GET");

            assertThat(SampleDocument.paths(problems()))
                    .isEqualTo(
                            "accounts.north-stores.adapters accounts.south-stores.adapters"
                                    + " adapters.north.base classes.batch.weight moveCost"
                                    + " services.orders.method targets.engine-2.endpoint");
        }

        @Test
        void shouldSayWhatIsAllowedWhenANumberIsOutsideItsLimits() {
            at(tree, "weightStore").put("concurrentLoads", 0);

            assertThat(onlyProblem())
                    .isEqualTo(
                            new Problem(
                                    "weightStore.concurrentLoads",
                                    "number 0",
                                    "a whole number from 1 to 1000000",
                                    ProblemKind.OUT_OF_RANGE));
        }

        @Test
        void shouldSuggestQuotesWhenAVersionIsANumber() {
            at(tree, "models", "reader").put("version", 1);

            assertThat(onlyProblem().allowed()).contains("put it in quotes");
        }

        @Test
        void shouldRejectWhenAModelIsLargerThanAnyAccelerator() {
            at(tree, "models", "writer").put("memoryMebibytes", 20_481);

            Problem problem = onlyProblem();

            assertThat(problem.kind()).isEqualTo(ProblemKind.DOES_NOT_FIT);
            assertThat(problem.allowed()).startsWith("at most 20480");
        }

        @Test
        void shouldRejectWhenAnAdapterAndItsModelFitNoAccelerator() {
            at(tree, "adapters", "north").put("memoryMebibytes", 12_289);

            assertThat(onlyProblem().path()).isEqualTo("adapters.north.memoryMebibytes");
        }

        @Test
        void shouldRejectWhenTwoAccountsHaveTheSameKey() {
            at(tree, "accounts", "south-stores", "parameters").put("key", "a".repeat(64));

            assertThat(onlyProblem().path()).isEqualTo("accounts.south-stores.keyHashes");
        }

        @Test
        void shouldRejectWhenTwoTargetsHaveTheSameEndpoint() {
            at(tree, "targets", "engine-2").put("endpoint", "127.0.0.1:9101");

            assertThat(onlyProblem().kind()).isEqualTo(ProblemKind.DUPLICATE);
        }

        @Test
        void shouldRejectWhenAServiceOfAnAccountHasNoTarget() {
            at(tree, "targets").remove("service-1");

            assertThat(onlyProblem().path()).isEqualTo("services.orders");
        }

        @Test
        void shouldRejectWhenTheFormatIsOfALaterRelease() {
            tree.put("format", 2);

            assertThat(onlyProblem().kind()).isEqualTo(ProblemKind.UNSUPPORTED_FORMAT);
        }

        @Test
        void shouldRejectWhenTheExpandedDocumentIsTooLarge() {
            Map<String, Object> parameters = at(tree, "parameters");
            parameters.put("many", list((Object[]) "x ".repeat(20_000).split(" ")));
            at(tree, "templates", "customer", "account")
                    .put("models", list((Object[]) "${many} ".repeat(20).split(" ")));

            assertThat(onlyProblem().kind()).isEqualTo(ProblemKind.TOO_LARGE);
        }
    }

    @Nested
    class Warnings {
        @Test
        void shouldNotWarnWhenEverythingCanBeSatisfied() {
            assertThat(accepted().warnings()).isEmpty();
        }

        @Test
        void shouldNameModelsWhenNotAllFitAtOnce() {
            at(tree, "models").put("a", map("version", "1", "memoryMebibytes", 20_480));
            at(tree, "models").put("b", map("version", "1", "memoryMebibytes", 20_480));

            Warning warning = accepted().warnings().get(0);

            assertThat(warning.kind()).isEqualTo(WarningKind.NOT_ALL_RESIDENT);
            assertThat(warning.message()).endsWith("on demand only: reader, writer");
        }

        @Test
        void shouldWarnWhenThereIsMemoryForOneCopyOnly() {
            at(tree, "models").put("a", map("version", "1", "memoryMebibytes", 16_000));

            assertThat(warnings()).contains(WarningKind.ONE_COPY_ONLY);
        }

        @Test
        void shouldWarnWhenModelsFitOneDataCentreOnly() {
            at(tree, "targets", "engine-2").put("dataCentre", "quito-1");

            assertThat(warnings()).contains(WarningKind.ONE_DATA_CENTRE);
        }

        @Test
        void shouldWarnWhenACapIsBelowItsShare() {
            at(tree, "templates", "customer", "account").put("cap", 2);

            assertThat(warnings())
                    .containsExactly(WarningKind.CAP_BELOW_SHARE, WarningKind.CAP_BELOW_SHARE);
        }
    }
}
