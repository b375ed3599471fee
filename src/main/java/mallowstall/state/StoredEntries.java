package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import mallowstall.core.Model.BitsRec;
import mallowstall.core.Model.CounterRec;
import mallowstall.core.Model.DigestRec;
import mallowstall.core.Model.DutyRec;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.GroupMachine;
import mallowstall.core.Model.GroupRec;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.MachineRec;
import mallowstall.core.Model.Room;
import mallowstall.core.Model.SessionRec;
import mallowstall.core.Model.TeamRec;
import mallowstall.core.Model.VersionRec;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;

/**
 * The entries of the state service as JSON. Field names and their order are stored: other versions
 * read what this one writes, so they never change.
 */
public final class StoredEntries {
  private StoredEntries() {}

  /** The entry as it is sent. */
  public static byte[] encode(Entry entry) {
    return JsonWriter.document(out -> write(out, entry));
  }

  /** Reads the entry that stands under this key; null: there is none, or the key isn't known. */
  public static Entry read(String key, JsonReader in) throws IOException {
    JsonReader.ValueReader<? extends Entry> fields = reader(key);
    if (fields == null) {
      in.skip();
      return null;
    }
    return in.enterObjectIfPresent() ? fields.read(in) : null;
  }

  /** What reads the fields of the entries under such a key; null: nothing does. */
  private static JsonReader.ValueReader<? extends Entry> reader(String key) {
    return switch (key.length() < 4 ? "" : key.substring(0, 4)) {
      case "c/j/" -> StoredJobs::read;
      case "c/m/" -> StoredEntries::machine;
      case "c/g/" -> StoredEntries::group;
      case "c/n/" -> StoredEntries::session;
      case "c/v/" -> StoredEntries::version;
      case "c/t/" -> StoredEntries::team;
      case "c/d/" -> StoredEntries::digest;
      case "c/b/" -> StoredEntries::bits;
      default ->
          switch (key) {
            case "c/cloud" -> StoredEntries::duty;
            case "c/incarnations" -> StoredEntries::counter;
            default -> null;
          };
    };
  }

  /** Writes the entry as one JSON object. */
  static void write(JsonGenerator out, Entry entry) throws IOException {
    out.writeStartObject();
    if (entry instanceof JobRec job) {
      StoredJobs.write(out, job);
    } else if (entry instanceof MachineRec machine) {
      write(out, machine);
    } else if (entry instanceof GroupRec group) {
      write(out, group);
    } else if (entry instanceof SessionRec session) {
      writeProcess(out, session.node(), session.incarnation());
    } else if (entry instanceof VersionRec version) {
      writeProcess(out, version.node(), version.incarnation());
      out.writeNumberField(StoredFields.VERSION, version.version());
    } else if (entry instanceof TeamRec team) {
      out.writeNumberField(StoredFields.CPUS, team.cpus());
      out.writeNumberField(StoredFields.GPUS, team.gpus());
    } else if (entry instanceof DigestRec digest) {
      write(out, digest);
    } else if (entry instanceof BitsRec bits) {
      out.writeBinaryField(StoredFields.COMPLETED_BITS, bits.done());
    } else if (entry instanceof DutyRec duty) {
      writeProcess(out, duty.node(), duty.incarnation());
    } else if (entry instanceof CounterRec counter) {
      out.writeNumberField(StoredFields.COUNTER, counter.value());
    }
    out.writeEndObject();
  }

  private static void writeProcess(JsonGenerator out, String node, long incarnation)
      throws IOException {
    out.writeStringField(StoredFields.NODE, node);
    out.writeNumberField(StoredFields.INCARNATION, incarnation);
  }

  private static void write(JsonGenerator out, MachineRec machine) throws IOException {
    writeProcess(out, machine.node(), machine.incarnation());
    out.writeNumberField(StoredFields.TOKEN, machine.token());
    out.writeStringField(StoredFields.TYPE, machine.type());
    out.writeStringField(StoredFields.ZONE, machine.zone());
    out.writeBooleanField(StoredFields.SPOT, machine.spot());
  }

  private static void write(JsonGenerator out, GroupRec group) throws IOException {
    writeProcess(out, group.node(), group.incarnation());
    JsonWriter.list(out, StoredFields.MACHINES, group.machines(), StoredEntries::writeMember);
  }

  private static void writeMember(JsonGenerator out, GroupMachine member) throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.ID, member.id());
    out.writeStringField(StoredFields.TYPE, member.type());
    out.writeStringField(StoredFields.ZONE, member.zone());
    out.writeBooleanField(StoredFields.SPOT, member.spot());
    out.writeEndObject();
  }

  private static void write(JsonGenerator out, DigestRec digest) throws IOException {
    out.writeNumberField(StoredFields.INCARNATION, digest.incarnation());
    JsonWriter.list(out, StoredFields.FREE_CAPACITY, digest.rooms(), StoredEntries::writeRoom);
    out.writeNumberField(StoredFields.PENDING_CPUS, digest.pendingCpus());
  }

  private static void writeRoom(JsonGenerator out, Room room) throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.MACHINE, room.machine());
    out.writeNumberField(StoredFields.CPUS, room.cpus());
    out.writeNumberField(StoredFields.GPUS, room.gpus());
    out.writeNumberField(StoredFields.MEMORY_GB, room.memoryGb());
    out.writeEndObject();
  }

  private static SessionRec session(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        default -> in.skip();
      }
    }
    return new SessionRec(node, incarnation);
  }

  private static DutyRec duty(JsonReader in) throws IOException {
    SessionRec process = session(in);
    return new DutyRec(process.node(), process.incarnation());
  }

  private static VersionRec version(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    int version = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.VERSION -> version = in.intOrZero();
        default -> in.skip();
      }
    }
    return new VersionRec(node, incarnation, version);
  }

  private static MachineRec machine(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    long token = 0;
    String type = null;
    String zone = null;
    boolean spot = false;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.TOKEN -> token = in.longOrZero();
        case StoredFields.TYPE -> type = in.string();
        case StoredFields.ZONE -> zone = in.string();
        case StoredFields.SPOT -> spot = in.booleanOrFalse();
        default -> in.skip();
      }
    }
    return new MachineRec(node, incarnation, token, type, zone, spot);
  }

  private static GroupRec group(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    List<GroupMachine> machines = null;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.MACHINES -> machines = in.list(StoredEntries::member);
        default -> in.skip();
      }
    }
    return new GroupRec(node, incarnation, machines);
  }

  private static GroupMachine member(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String id = null;
    String type = null;
    String zone = null;
    boolean spot = false;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.ID -> id = in.string();
        case StoredFields.TYPE -> type = in.string();
        case StoredFields.ZONE -> zone = in.string();
        case StoredFields.SPOT -> spot = in.booleanOrFalse();
        default -> in.skip();
      }
    }
    return new GroupMachine(id, type, zone, spot);
  }

  private static TeamRec team(JsonReader in) throws IOException {
    double cpus = 0;
    double gpus = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.CPUS -> cpus = in.doubleOrZero();
        case StoredFields.GPUS -> gpus = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new TeamRec(cpus, gpus);
  }

  private static DigestRec digest(JsonReader in) throws IOException {
    long incarnation = 0;
    List<Room> rooms = null;
    double pendingCpus = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.FREE_CAPACITY -> rooms = in.list(StoredEntries::room);
        case StoredFields.PENDING_CPUS -> pendingCpus = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new DigestRec(incarnation, rooms, pendingCpus);
  }

  private static Room room(JsonReader in) throws IOException {
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    String machine = null;
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.MACHINE -> machine = in.string();
        case StoredFields.CPUS -> cpus = in.doubleOrZero();
        case StoredFields.GPUS -> gpus = in.doubleOrZero();
        case StoredFields.MEMORY_GB -> memoryGb = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new Room(machine, cpus, gpus, memoryGb);
  }

  private static BitsRec bits(JsonReader in) throws IOException {
    byte[] done = null;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.COMPLETED_BITS -> done = in.bytes();
        default -> in.skip();
      }
    }
    return new BitsRec(done);
  }

  private static CounterRec counter(JsonReader in) throws IOException {
    long value = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.COUNTER -> value = in.longOrZero();
        default -> in.skip();
      }
    }
    return new CounterRec(value);
  }
}
