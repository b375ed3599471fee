package mallowstall.users;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import mallowstall.core.model.JobKind;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.Priority;
import mallowstall.json.JsonReader;
import mallowstall.json.WrongTypeException;

/**
 * The fields of a submission, which are set while the body is parsed and then checked. A field that
 * the body doesn't hold is null. Messages of exceptions are sent to users. Mutable.
 */
final class Submission {
  /** Maximum number of tasks of one job, as set by the protocol. */
  private static final int TASKS_MAX = 100_000;

  private static final Pattern JOB_ID = Pattern.compile("wk-[0-9]{1,18}");
  private static final int MAX_TEXT_LENGTH = 200;
  private static final double MAX_AMOUNT = 1e9;
  private static final Map<String, Priority> PRIORITIES =
      Map.of(
          UserProtocol.PRIORITY_PRODUCTION,
          Priority.PRODUCTION,
          UserProtocol.PRIORITY_HIGH,
          Priority.HIGH,
          UserProtocol.PRIORITY_NORMAL,
          Priority.NORMAL,
          UserProtocol.PRIORITY_LOW,
          Priority.LOW);

  private static final Map<String, JobKind> KINDS =
      Map.of(UserProtocol.KIND_BATCH, JobKind.BATCH, UserProtocol.KIND_SERVICE, JobKind.SERVICE);

  private String id;
  private String jobClass;
  private String team;
  private String kind;
  private String priority;
  private Integer tasks;
  private Double cpus;
  private Double gpus;
  private Double memoryGb;
  private String image;
  private Double imageGb;
  private List<String> types;
  private String zone;
  private Boolean oneZone;
  private Boolean spread;
  private Boolean spot;
  private Double estimateS;
  private Double checkpointS;
  private Double saveS;
  private Double deadlineS;

  /** Reads a submission without checking its fields. Returns null if the body is JSON null. */
  private static Submission read(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    Submission submission = new Submission();
    while (in.nextField()) {
      submission.readField(in);
    }
    return submission;
  }

  private void readField(JsonReader in) throws IOException {
    switch (in.field()) {
      case UserProtocol.JOB -> id = in.string();
      case UserProtocol.JOB_CLASS -> jobClass = in.string();
      case UserProtocol.TEAM -> team = in.string();
      case UserProtocol.KIND -> kind = in.string();
      case UserProtocol.PRIORITY -> priority = in.string();
      case UserProtocol.TASKS -> tasks = in.intOrNull();
      case UserProtocol.CPUS -> cpus = in.doubleOrNull();
      case UserProtocol.GPUS -> gpus = in.doubleOrNull();
      case UserProtocol.MEMORY_GB -> memoryGb = in.doubleOrNull();
      case UserProtocol.IMAGE -> image = in.string();
      case UserProtocol.IMAGE_GB -> imageGb = in.doubleOrNull();
      case UserProtocol.MACHINE_TYPES -> types = in.strings();
      case UserProtocol.ZONE -> zone = in.string();
      case UserProtocol.ONE_ZONE -> oneZone = in.booleanOrNull();
      case UserProtocol.SPREAD -> spread = in.booleanOrNull();
      case UserProtocol.SPOT -> spot = in.booleanOrNull();
      case UserProtocol.ESTIMATE_S -> estimateS = in.doubleOrNull();
      case UserProtocol.CHECKPOINT_S -> checkpointS = in.doubleOrNull();
      case UserProtocol.SAVE_S -> saveS = in.doubleOrNull();
      case UserProtocol.DEADLINE_S -> deadlineS = in.doubleOrNull();
      default -> in.skip();
    }
  }

  /**
   * Returns the job id of a submission in which another field can't be read, or null if the body
   * holds no valid job id.
   */
  private static String readJobId(byte[] body) {
    try {
      String id = JsonReader.read(body, Submission::readId);
      return id != null && isJobId(id) ? id : null;
    } catch (IOException unreadable) {
      return null;
    }
  }

  private static String readId(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String id = null;
    while (in.nextField()) {
      if (in.field().equals(UserProtocol.JOB)) {
        id = in.string();
      } else {
        in.skip();
      }
    }
    return id;
  }

  /** Returns whether the string has the form of a job id, like {@code wk-000412}. */
  static boolean isJobId(String id) {
    return JOB_ID.matcher(id).matches();
  }

  /**
   * Parses a submission and checks its fields.
   *
   * @throws MalformedSubmissionException if the body or a field is invalid, with a message for the
   *     user
   */
  static JobSpec parse(byte[] body) throws MalformedSubmissionException {
    Submission submission;
    try {
      submission = JsonReader.read(body, Submission::read);
    } catch (WrongTypeException wrong) {
      String field = wrong.path().isEmpty() ? "the body" : wrong.outermostField();
      throw new MalformedSubmissionException(field + " has the wrong type or is out of range")
          .withJob(readJobId(body));
    } catch (JsonProcessingException failure) {
      throw new MalformedSubmissionException("the body is not JSON");
    } catch (IOException error) {
      throw new MalformedSubmissionException("the body can't be read");
    }
    if (submission == null) {
      throw new MalformedSubmissionException("the body is not an object");
    }
    requireText(UserProtocol.JOB, submission.id);
    if (!isJobId(submission.id)) {
      throw new MalformedSubmissionException(UserProtocol.JOB + " must look like wk-000412");
    }
    try {
      return submission.toSpec();
    } catch (MalformedSubmissionException malformed) {
      throw malformed.withJob(submission.id);
    }
  }

  /**
   * Checks the fields and returns the job that they describe. The order of the checks decides which
   * message the user gets if several fields are invalid.
   */
  private JobSpec toSpec() throws MalformedSubmissionException {
    requireText(UserProtocol.JOB_CLASS, jobClass);
    requireText(UserProtocol.TEAM, team);
    JobKind jobKind = requireOneOf(UserProtocol.KIND, kind, KINDS, "batch or daemon");
    Priority jobPriority =
        requireOneOf(
            UserProtocol.PRIORITY, priority, PRIORITIES, "prod, high, standard or best_effort");
    checkTasks();
    checkPlacement();
    requireAmount(UserProtocol.ESTIMATE_S, estimateS);
    requireAmount(UserProtocol.CHECKPOINT_S, checkpointS);
    requireAmount(UserProtocol.SAVE_S, saveS);
    if (deadlineS != null) {
      requireAmount(UserProtocol.DEADLINE_S, deadlineS);
    }
    return new JobSpec(
        id,
        jobClass,
        team,
        jobPriority,
        tasks,
        cpus,
        gpus,
        memoryGb,
        image,
        imageGb,
        types,
        zone,
        oneZone,
        spread,
        spot,
        estimateS,
        checkpointS,
        saveS,
        deadlineS,
        jobKind);
  }

  private static <T> T requireOneOf(
      String name, String value, Map<String, T> known, String allowedValues)
      throws MalformedSubmissionException {
    requireText(name, value);
    T found = known.get(value);
    if (found == null) {
      throw new MalformedSubmissionException(name + " must be " + allowedValues);
    }
    return found;
  }

  /** Checks the number of tasks and the resources and image of each task. */
  private void checkTasks() throws MalformedSubmissionException {
    if (tasks == null) {
      throw new MalformedSubmissionException(UserProtocol.TASKS + " is missing");
    }
    if (tasks < 1 || tasks > TASKS_MAX) {
      throw new MalformedSubmissionException(UserProtocol.TASKS + " must be 1 to " + TASKS_MAX);
    }
    requireAmount(UserProtocol.CPUS, cpus);
    requireAmount(UserProtocol.GPUS, gpus);
    requireAmount(UserProtocol.MEMORY_GB, memoryGb);
    if (cpus <= 0) {
      throw new MalformedSubmissionException(UserProtocol.CPUS + " must be above 0");
    }
    requireText(UserProtocol.IMAGE, image);
    requireAmount(UserProtocol.IMAGE_GB, imageGb);
  }

  /** Checks the fields that restrict on which machines the tasks may run. */
  private void checkPlacement() throws MalformedSubmissionException {
    if (types != null) {
      for (String type : types) {
        requireText(UserProtocol.MACHINE_TYPES, type);
      }
      if (types.isEmpty()) {
        throw new MalformedSubmissionException(
            UserProtocol.MACHINE_TYPES + " must be null or name a machine type");
      }
    }
    if (zone != null) {
      requireText(UserProtocol.ZONE, zone);
    }
    requireFlag(UserProtocol.ONE_ZONE, oneZone);
    requireFlag(UserProtocol.SPREAD, spread);
    requireFlag(UserProtocol.SPOT, spot);
  }

  private static void requireText(String name, String value) throws MalformedSubmissionException {
    if (value == null) {
      throw new MalformedSubmissionException(name + " is missing");
    }
    if (value.isEmpty() || value.length() > MAX_TEXT_LENGTH) {
      throw new MalformedSubmissionException(name + " must have 1 to 200 characters");
    }
  }

  private static void requireAmount(String name, Double value) throws MalformedSubmissionException {
    if (value == null) {
      throw new MalformedSubmissionException(name + " is missing");
    }
    if (!Double.isFinite(value) || value < 0 || value > MAX_AMOUNT) {
      throw new MalformedSubmissionException(name + " must be a number from 0 to 1e9");
    }
  }

  private static void requireFlag(String name, Boolean value) throws MalformedSubmissionException {
    if (value == null) {
      throw new MalformedSubmissionException(name + " is missing");
    }
  }
}
