package mallowstall.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import mallowstall.Fixtures;
import org.junit.jupiter.api.Test;

/** Checks the exact bytes of the bundled policies and the exact messages of the checker. */
class GoldenPolicyTest {
  @Test
  void bundledPoliciesMatchGoldenFile() throws IOException {
    try (InputStream in = getClass().getResourceAsStream("/mallowstall/default.policy")) {
      assertArrayEquals(Fixtures.bytes("default.policy"), in.readAllBytes());
    }
    assertEquals(List.of(), Policies.bundled().diagnostics());
  }

  @Test
  void diagnosticsMatchGoldenFile() throws IOException {
    Policies policies = Policies.of(Fixtures.text("faulty.policy"));

    String messages =
        String.join(
            "\n",
            policies.diagnostics().stream()
                .map(diagnostic -> diagnostic.format("faulty.policy"))
                .toList());

    Fixtures.assertMatchesFixture("policy-faults.txt", messages);
  }
}
