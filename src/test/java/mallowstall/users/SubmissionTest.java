package mallowstall.users;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import mallowstall.core.model.JobKind;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import org.junit.jupiter.api.Test;

/** Tests which submissions are parsed and which messages malformed ones are rejected with. */
class SubmissionTest {
  static final String GOOD =
      """
      {"ref":"wk-000412","lote":"train","cuadrilla":"vision","oficio":"batch","urgencia":"high","piezas":16,
       "vcpus":8.0,"gpus":1.0,"mem_gb":64.0,"molde":"img-07","image_gb":6.2,"calibres":["g8"],"patio":null,
       "one_zone":true,"scatter":false,"prestados":true,"aserrado_s":240.0,"marca_s":30.0,"apilado_s":4.0,
       "despacho_s":900.0,"later":[1]}
      """;

  private static JobSpec parse(String json) throws MalformedSubmissionException {
    return Submission.parse(json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void batchSubmissionIsParsed() throws MalformedSubmissionException {
    JobSpec spec = parse(GOOD);
    assertEquals(16, spec.tasks());
    assertEquals(Priority.HIGH, spec.priority());
    assertNull(spec.zone());
    assertEquals(900.0, spec.deadlineS());
    assertNull(parse(GOOD.replace("\"calibres\":[\"g8\"],", "")).machineTypes());
  }

  /** A service has no run time to estimate, so the estimate may be 0 and the deadline null. */
  @Test
  void serviceSubmissionIsParsed() throws MalformedSubmissionException {
    String service =
        GOOD.replace("\"batch\"", "\"daemon\"")
            .replace("\"aserrado_s\":240.0", "\"aserrado_s\":0")
            .replace("\"despacho_s\":900.0", "\"despacho_s\":null");
    JobSpec spec = parse(service);
    assertEquals(JobKind.SERVICE, spec.kind());
    assertEquals(0, spec.estimatedRunS());
    assertNull(spec.deadlineS());
    assertEquals(JobKind.BATCH, parse(GOOD).kind());
    assertThrows(
        MalformedSubmissionException.class,
        () -> parse(service.replace("\"aserrado_s\":0", "\"aserrado_s\":-1")));
    assertThrows(
        MalformedSubmissionException.class,
        () -> parse(service.replace("\"piezas\":16", "\"piezas\":0")));
  }

  @Test
  void errorMessageNamesTheFault() {
    String[][] cases = {
      {GOOD, "[1,2]", "the body"},
      {GOOD, "not json", "the body is not JSON"},
      {GOOD, "null", "the body is not an object"},
      {"wk-000412", "job-7", "ref must look like"},
      {"\"batch\"", "\"ensemble\"", "oficio must be batch or daemon"},
      {"\"high\"", "\"urgent\"", "urgencia must be"},
      {"\"piezas\":16", "\"piezas\":0", "piezas must be 1 to"},
      {"\"piezas\":16", "\"piezas\":100001", "piezas must be 1 to"},
      {"\"piezas\":16", "\"piezas\":1.5", "piezas has the wrong type"},
      {"\"piezas\":16", "\"piezas\":\"16\"", "piezas has the wrong type"},
      {"\"vcpus\":8.0", "\"vcpus\":-1", "vcpus must be"},
      {"\"mem_gb\":64.0,", "", "mem_gb is missing"},
      {"\"one_zone\":true", "\"one_zone\":1", "one_zone has the wrong type"},
      {"\"one_zone\":true", "\"one_zone\":null", "one_zone is missing"},
      {"\"lote\":\"train\"", "\"lote\":5", "lote has the wrong type"},
      {"[\"g8\"]", "[]", "calibres must be null or"},
      {"[\"g8\"]", "[null]", "calibres is missing"},
    };
    for (String[] c : cases) {
      MalformedSubmissionException malformed =
          assertThrows(
              MalformedSubmissionException.class,
              () -> parse(GOOD.replace(c[0], c[1])),
              c[0] + c[1]);
      assertTrue(malformed.getMessage().startsWith(c[2]), c[1] + " -> " + malformed.getMessage());
    }
  }
}
