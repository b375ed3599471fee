package mallowstall.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import mallowstall.cli.Main;
import org.junit.jupiter.api.Test;

class SettingsTest {
  static final String GOOD =
      """
      {"node":"n0","location":"z","listen":"127.0.0.1:8080","peer_bind":"127.0.0.1:8081","later":{"x":1},
       "known":[{"node":"n1","location":"z","addr":"127.0.0.1:8082"}],
       "endpoints":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
       "facts":{"teams":[{"name":"t","cpus":1.0,"cpus_max":2.0}],"objectives":[{"kind":"new"}],
        "workers":{"report_s":1.0,"lease_s":10.0,"cancel_s":35.0},
        "state":{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":24},
        "cloud":{"rps":1.5,"list_lag_s":10.0},"machine_limits":{"fd_limit":600},"skew_ms":25.0}}
      """;

  private static Settings parse(String s) throws Settings.Invalid {
    return Settings.parse(s.getBytes(StandardCharsets.UTF_8), Main.json());
  }

  @Test
  void unknownFieldsAreIgnored() throws Settings.Invalid {
    Settings s = parse(GOOD);
    assertEquals("n1", s.peers().get(0).node());
    assertEquals(10.0, s.facts().workers().leaseS());
  }

  @Test
  void faultsNameTheFieldAndWhatWasExpected() {
    String[][] cases = {
      {"\"127.0.0.1:1\"", "\"cloud.example:1\"", "endpoints.cloud must be an address"},
      {"\"lease_s\":10.0", "\"lease_s\":0", "facts.workers.lease_s must be a number above 0"},
      {"\"rps\":150.0", "\"rps\":\"many\"", "facts.state.rps has the wrong type"},
      {"\"addr\":\"127.0.0.1:8082\"", "\"addr\":null", "known[0].addr is missing"},
      {"\"txn_ops\":24", "\"txn_ops\":1", "facts.state.txn_ops must be"},
      {"{\"node\"", "{node", "not JSON (line 1"},
    };
    for (String[] c : cases) {
      Settings.Invalid e =
          assertThrows(Settings.Invalid.class, () -> parse(GOOD.replace(c[0], c[1])), c[1]);
      assertTrue(e.getMessage().startsWith(c[2]), e.getMessage());
    }
  }
}
