package mallowstall.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import mallowstall.Fixtures;
import org.junit.jupiter.api.Test;

/** The bundled policies byte for byte, and the checker's messages word for word. */
class GoldenPolicyTest {
  @Test
  void theBundledPoliciesAreAsEver() throws IOException {
    try (InputStream in = getClass().getResourceAsStream("/mallowstall/default.policy")) {
      assertArrayEquals(Fixtures.bytes("default.policy"), in.readAllBytes());
    }
    assertEquals(List.of(), Policies.bundled().diagnostics());
  }

  @Test
  void faultsAreToldWordForWord() throws IOException {
    Policies policies = Policies.of(Fixtures.text("faulty.policy"));

    String told =
        String.join(
            "\n",
            policies.diagnostics().stream()
                .map(diagnostic -> diagnostic.format("faulty.policy"))
                .toList());

    Fixtures.assertSame("policy-faults.txt", told);
  }
}
