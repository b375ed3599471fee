package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import mallowstall.core.model.RunState;
import mallowstall.core.model.RunStateAnswer;
import mallowstall.core.model.RunStateExchangeEntry;
import mallowstall.core.model.RunStateQuery;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.RunStateReply;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;

/** Encodes and decodes the exchanges about running tasks as JSON; see {@link StoredEntries}. */
final class StoredRunStates {
  private StoredRunStates() {}

  /** Writes the fields of the entry into an open JSON object. */
  static void write(JsonGenerator out, RunStateExchangeEntry entry) throws IOException {
    JsonWriter.list(out, StoredFields.QUERIES, entry.queries(), StoredRunStates::writeQuery);
    JsonWriter.list(out, StoredFields.REPLIES, entry.replies(), StoredRunStates::writeReply);
  }

  private static void writeQuery(JsonGenerator out, RunStateQuery query) throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.NODE, query.node());
    out.writeNumberField(StoredFields.INCARNATION, query.incarnation());
    out.writeNumberField(StoredFields.SERIAL, query.serial());
    JsonWriter.list(out, StoredFields.JOBS, query.questions(), StoredRunStates::writeQuestion);
    out.writeEndObject();
  }

  private static void writeQuestion(JsonGenerator out, RunStateQuestion question)
      throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.ID, question.job());
    out.writeNumberField(StoredFields.EPOCH, question.leaderEpoch());
    JsonWriter.strings(out, StoredFields.MACHINES, question.machines());
    out.writeNumberField(StoredFields.MAX_AGE_MS, question.maxAgeMs());
    out.writeEndObject();
  }

  private static void writeReply(JsonGenerator out, RunStateReply reply) throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.NODE, reply.node());
    out.writeStringField(StoredFields.ASKER, reply.asker());
    out.writeNumberField(StoredFields.INCARNATION, reply.incarnation());
    out.writeNumberField(StoredFields.SERIAL, reply.serial());
    JsonWriter.list(out, StoredFields.JOBS, reply.answers(), StoredRunStates::writeAnswer);
    out.writeEndObject();
  }

  private static void writeAnswer(JsonGenerator out, RunStateAnswer answer) throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.ID, answer.job());
    out.writeStringField(StoredFields.RUN_STATE, answer.state().name());
    out.writeNumberField(StoredFields.RUNNING_TASKS, answer.runningTasks());
    out.writeNumberField(StoredFields.SINCE_AGE_MS, answer.sinceAgeMs());
    out.writeNumberField(StoredFields.AGE_MS, answer.ageMs());
    out.writeEndObject();
  }

  /** Reads the fields of an entry up to the end of its JSON object. */
  static RunStateExchangeEntry read(JsonReader in) throws IOException {
    List<RunStateQuery> queries = null;
    List<RunStateReply> replies = null;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.QUERIES -> queries = in.list(StoredRunStates::readQuery);
        case StoredFields.REPLIES -> replies = in.list(StoredRunStates::readReply);
        default -> in.skip();
      }
    }
    return new RunStateExchangeEntry(queries, replies);
  }

  private static RunStateQuery readQuery(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    long serial = 0;
    List<RunStateQuestion> questions = List.of();
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.SERIAL -> serial = in.longOrZero();
        case StoredFields.JOBS -> questions = in.list(StoredRunStates::readQuestion);
        default -> in.skip();
      }
    }
    return new RunStateQuery(node, incarnation, serial, questions);
  }

  private static RunStateQuestion readQuestion(JsonReader in) throws IOException {
    String job = null;
    long leaderEpoch = 0;
    List<String> machines = List.of();
    long maxAgeMs = 0;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.ID -> job = in.string();
        case StoredFields.EPOCH -> leaderEpoch = in.longOrZero();
        case StoredFields.MACHINES -> machines = in.strings();
        case StoredFields.MAX_AGE_MS -> maxAgeMs = in.longOrZero();
        default -> in.skip();
      }
    }
    return new RunStateQuestion(job, leaderEpoch, machines, maxAgeMs);
  }

  private static RunStateReply readReply(JsonReader in) throws IOException {
    String node = null;
    String asker = null;
    long incarnation = 0;
    long serial = 0;
    List<RunStateAnswer> answers = List.of();
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.ASKER -> asker = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.SERIAL -> serial = in.longOrZero();
        case StoredFields.JOBS -> answers = in.list(StoredRunStates::readAnswer);
        default -> in.skip();
      }
    }
    return new RunStateReply(node, asker, incarnation, serial, answers);
  }

  private static RunStateAnswer readAnswer(JsonReader in) throws IOException {
    String job = null;
    RunState state = RunState.UNKNOWN;
    int runningTasks = 0;
    long sinceAgeMs = 0;
    long ageMs = 0;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.ID -> job = in.string();
        case StoredFields.RUN_STATE -> state = in.enumConstant(RunState.class);
        case StoredFields.RUNNING_TASKS -> runningTasks = in.intOrZero();
        case StoredFields.SINCE_AGE_MS -> sinceAgeMs = in.longOrZero();
        case StoredFields.AGE_MS -> ageMs = in.longOrZero();
        default -> in.skip();
      }
    }
    return new RunStateAnswer(job, state, runningTasks, sinceAgeMs, ageMs);
  }
}
