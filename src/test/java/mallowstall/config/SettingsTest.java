package mallowstall.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks which settings files are accepted, and the error messages for invalid ones. */
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

  private static Settings parse(String json) throws Settings.Invalid {
    return Settings.parse(json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void unknownFieldsAreIgnored() throws Settings.Invalid {
    Settings settings = parse(GOOD);
    assertEquals("n1", settings.peers().get(0).node());
    assertEquals(10.0, settings.facts().workers().leaseS());
  }

  private static String withNext(String next) {
    return GOOD.replace("\"txn_ops\":24", "\"txn_ops\":24,\"next\":" + next);
  }

  private static Settings.State lowest(String settings) throws Settings.Invalid {
    return parse(settings).facts().state().lowest();
  }

  @Test
  void lowestTakesSmallerOfCurrentAndNextValueForEachLimit() throws Settings.Invalid {
    Settings.State now = new Settings.State(150.0, 60.0, 16.0, 24, null);
    assertEquals(now, lowest(GOOD));
    assertEquals(now, lowest(withNext("null")));
    assertEquals(now, lowest(withNext("{}")));
    assertEquals(
        new Settings.State(90.0, 20.0, 2.0, 8, null),
        lowest(withNext("{\"rps\":90,\"write_rps\":20.0,\"value_kb\":2,\"txn_ops\":8}")));
    assertEquals(
        new Settings.State(150.0, 60.0, 2.5, 24, null),
        lowest(withNext("{\"rps\":200.0,\"value_kb\":2.5,\"txn_ops\":64,\"more\":1}")));
  }

  @Test
  void errorsInNextLimitsNameTheField() {
    String[][] cases = {
      {"{\"rps\":0}", "facts.state.next.rps must be a number above 0"},
      {"{\"write_rps\":-1.0}", "facts.state.next.write_rps must be a number above 0"},
      {"{\"value_kb\":0.0}", "facts.state.next.value_kb must be a number above 0"},
      {"{\"value_kb\":1e999}", "facts.state.next.value_kb must be a number above 0"},
      {"{\"value_kb\":\"2\"}", "facts.state.next.value_kb has the wrong type"},
      {"{\"txn_ops\":1}", "facts.state.next.txn_ops must be a whole number above 1"},
      {"{\"txn_ops\":8.5}", "facts.state.next.txn_ops has the wrong type"},
      {"8", "facts.state.next has the wrong type"},
      {"[]", "facts.state.next has the wrong type"},
    };
    for (String[] c : cases) {
      Settings.Invalid invalid =
          assertThrows(Settings.Invalid.class, () -> parse(withNext(c[0])), c[0]);
      assertEquals(c[1], invalid.getMessage(), c[0]);
    }
  }

  @Test
  void errorsNameTheFieldAndTheExpectedValue() {
    String[][] cases = {
      {"\"127.0.0.1:1\"", "\"cloud.example:1\"", "endpoints.cloud must be an address"},
      {"\"lease_s\":10.0", "\"lease_s\":0", "facts.workers.lease_s must be a number above 0"},
      {"\"rps\":150.0", "\"rps\":\"many\"", "facts.state.rps has the wrong type"},
      {"\"addr\":\"127.0.0.1:8082\"", "\"addr\":null", "known[0].addr is missing"},
      {"\"txn_ops\":24", "\"txn_ops\":1", "facts.state.txn_ops must be"},
      {"{\"node\"", "{node", "not JSON (line 1"},
    };
    for (String[] c : cases) {
      Settings.Invalid invalid =
          assertThrows(Settings.Invalid.class, () -> parse(GOOD.replace(c[0], c[1])), c[1]);
      assertTrue(invalid.getMessage().startsWith(c[2]), invalid.getMessage());
    }
  }
}
