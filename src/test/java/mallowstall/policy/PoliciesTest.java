package mallowstall.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mallowstall.core.placement.Policy;
import org.junit.jupiter.api.Test;

/** Tests the policy language, its checker and the bundled policies. */
class PoliciesTest {
  private static String wrap(String block) {
    return "class default {\n block {\n  strategy: random\n  " + block + "\n }\n}\n";
  }

  @Test
  void bundledPoliciesHaveNoDiagnostics() {
    assertEquals(List.of(), Policies.bundled().diagnostics());
  }

  /** Guards against replicas that wait 12 s for a small machine while larger ones are idle. */
  @Test
  void servicesUseScarceMachinesAtOnceAndBatchJobsAfterWaiting() {
    Policy policy = Policies.bundled().forJobClass("any");
    Policy.Facts facts = new Policy.Facts();
    facts.scarceType = true;
    facts.priority = 3;
    assertFalse(acceptsMachine(policy, facts), "batch job that has just come");
    facts.service = true;
    assertTrue(acceptsMachine(policy, facts), "service that has just come");
    facts.service = false;
    facts.waitedS = 13;
    assertTrue(acceptsMachine(policy, facts), "batch job that has waited");
  }

  /**
   * Guards against replicas that spread over empty machines, none of which then fits two large
   * tasks.
   */
  @Test
  void servicesPreferScarceMachinesThatAreInUse() {
    Policy policy = Policies.bundled().forJobClass("any");
    Policy.Facts facts = new Policy.Facts();
    facts.scarceType = true;
    facts.service = true;
    facts.priority = 3;
    Policy.Block block =
        policy.blocks().stream()
            .filter(candidate -> candidate.workers(facts) && !candidate.invalidate(facts))
            .findFirst()
            .orElseThrow();
    facts.cpuUtilization = 0;
    facts.imagePresent = true;
    double empty = block.score(facts);
    facts.cpuUtilization = 0.5;
    facts.imagePresent = false;
    facts.fetchS = 5;
    assertTrue(block.score(facts) < empty, "half used beats an image that is there");
  }

  private static boolean acceptsMachine(Policy policy, Policy.Facts facts) {
    return policy.blocks().stream()
        .anyMatch(block -> block.workers(facts) && !block.invalidate(facts));
  }

  @Test
  void expressionsFollowPrecedenceAndUnits() {
    Policies policies =
        Policies.of(
            "class default { block { strategy: lowest 1 + 2 * 3 - -4\n"
                + "workers: machine.fetch < 2min and not machine.spot or machine.zone == \"b\" } }");
    assertEquals(List.of(), policies.diagnostics());
    Policy.Block block = policies.forJobClass("any").blocks().get(0);
    Policy.Facts facts = new Policy.Facts();
    assertEquals(11, block.score(facts));
    facts.fetchS = 119;
    facts.zone = "a";
    assertTrue(block.workers(facts));
    facts.fetchS = 120;
    assertFalse(block.workers(facts));
    facts.zone = "b";
    assertTrue(block.workers(facts));
  }

  @Test
  void everyErrorIsReportedWithItsPosition() {
    String[][] cases = {
      {"workers: machine.colour == 1", "4:12: unknown name 'machine.colour'"},
      {"workers: machine.free_cpus > 4", "4:30: '>' compares a number of cpus with a plain number"},
      {"workers: machine.fetch < 5GB", "4:26: '<' compares a time with an amount of memory"},
      {"workers: machine.fetch < 5h", "4:28: unknown unit 'h': expected ms, s, min, GB or cpus"},
      {"workers: machine.used", "4:12: workers needs true or false but this is a plain number"},
      {"workers: machine.zone < \"a\"", "4:25: '<' can't compare text"},
      {"invalidate: 1s + 1", "4:18: '+' can't join a time and a plain number"},
      {"workers: (true", "5:2: expected ')' but found '}'"},
      {"workers: true workers: true", "4:17: workers stands twice in this block"},
      {"workers: \"a", "4:12: this text has no closing quote"},
      {"pick: 1", "4:3: expected workers, strategy, invalidate or '}' but found 'pick'"},
    };
    for (String[] c : cases) {
      Policies policies = Policies.of(wrap(c[0]));
      assertFalse(policies.isUsable(), c[0]);
      assertEquals("f:" + c[1], policies.diagnostics().get(0).format("f"), c[0]);
    }
  }

  @Test
  void errorsInAllClassesAreReported() {
    Policies policies =
        Policies.of(
            "class a { block { strategy: best } }\nclass a { block { workers: nope } }\nclass b { }\n");
    List<String> all =
        policies.diagnostics().stream()
            .map(diagnostic -> diagnostic.line() + " " + diagnostic.message())
            .toList();
    assertTrue(
        all.contains("1 expected lowest, highest or random but found 'best'"), all.toString());
    assertTrue(all.contains("2 unknown name 'nope'"), all.toString());
    assertTrue(all.contains("3 class 'b' has no block"), all.toString());
    assertTrue(all.stream().anyMatch(s -> s.contains("no class 'default'")), all.toString());
  }

  /** An error inside a block is not followed by errors that only result from it. */
  @Test
  void parsingResumesAfterFaultyBlock() {
    Policies policies =
        Policies.of(
            "class default { block { workers: nope strategy: random }\n"
                + "block { strategy: random } }\nclass b { block { strategy: x } block { strategy: random } }");
    assertEquals(
        List.of(
            "f:1:34: unknown name 'nope'",
            "f:3:29: expected lowest, highest or random but found 'x'"),
        policies.diagnostics().stream().map(diagnostic -> diagnostic.format("f")).toList());
  }

  /** The nesting depth at which an error occurs does not count for later expressions. */
  @Test
  void nestingDepthIsResetAfterError() {
    String faulty = "block { workers: not not not nope strategy: random }\n";
    Policies policies = Policies.of("class default {\n" + faulty.repeat(100) + "}");
    assertEquals(100, policies.diagnostics().size());
    for (PolicyDiagnostic diagnostic : policies.diagnostics()) {
      assertEquals("unknown name 'nope'", diagnostic.message());
    }
  }

  @Test
  void blocksThatNeverMatchCauseWarnings() {
    for (String s :
        List.of(
            "workers: 1 > 2",
            "invalidate: true",
            "workers: machine.zone == \"a\" and machine.zone == \"b\"")) {
      Policies policies = Policies.of(wrap(s));
      assertTrue(policies.isUsable(), s);
      assertEquals(1, policies.diagnostics().size(), s);
      assertTrue(policies.diagnostics().get(0).format("f").contains("warning: "), s);
    }
    assertFalse(Policies.of(wrap("workers: " + "(".repeat(500) + "true")).isUsable());
  }
}
