package mallowstall.state;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import mallowstall.core.model.AutoscalerLeaderEntry;
import mallowstall.core.model.CompletionBitsEntry;
import mallowstall.core.model.DigestEntry;
import mallowstall.core.model.FreeCapacity;
import mallowstall.core.model.IncarnationCounterEntry;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.MachineEntry;
import mallowstall.core.model.MachineGroupEntry;
import mallowstall.core.model.MachineGroupMember;
import mallowstall.core.model.RunStateExchangeEntry;
import mallowstall.core.model.SessionEntry;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.TeamUsageEntry;
import mallowstall.core.model.VersionEntry;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;

/**
 * Encodes and decodes the entries of the state service as JSON. Other versions of this program read
 * the stored entries, so field names and their order never change.
 */
public final class StoredEntries {
  private StoredEntries() {}

  /** Returns the stored form of the entry: JSON in UTF-8. */
  public static byte[] encode(StoredEntry entry) {
    return JsonWriter.document(out -> write(out, entry));
  }

  /** Reads the entry of this key. Returns null if the value is null or the key is unknown. */
  public static StoredEntry read(String key, JsonReader in) throws IOException {
    JsonReader.ValueReader<? extends StoredEntry> fields = reader(key);
    if (fields == null) {
      in.skip();
      return null;
    }
    return in.enterObjectIfPresent() ? fields.read(in) : null;
  }

  /** Returns the reader for entries of this kind of key, or null if the kind is unknown. */
  private static JsonReader.ValueReader<? extends StoredEntry> reader(String key) {
    return switch (key.length() < 4 ? "" : key.substring(0, 4)) {
      case "c/j/" -> StoredJobs::read;
      case "c/m/" -> StoredEntries::machine;
      case "c/g/" -> StoredEntries::group;
      case "c/n/" -> StoredEntries::session;
      case "c/v/" -> StoredEntries::version;
      case "c/t/" -> StoredEntries::team;
      case "c/d/" -> StoredEntries::digest;
      case "c/b/" -> StoredEntries::completionBits;
      case "c/q/" -> StoredRunStates::read;
      default ->
          switch (key) {
            case "c/cloud" -> StoredEntries::autoscalerLeader;
            case "c/incarnations" -> StoredEntries::counter;
            default -> null;
          };
    };
  }

  /** Writes the entry as one JSON object. */
  static void write(JsonGenerator out, StoredEntry entry) throws IOException {
    out.writeStartObject();
    if (entry instanceof JobEntry job) {
      StoredJobs.write(out, job);
    } else if (entry instanceof MachineEntry machine) {
      write(out, machine);
    } else if (entry instanceof MachineGroupEntry group) {
      write(out, group);
    } else if (entry instanceof SessionEntry session) {
      writeProcess(out, session.node(), session.incarnation());
    } else if (entry instanceof VersionEntry version) {
      writeProcess(out, version.node(), version.incarnation());
      out.writeNumberField(StoredFields.VERSION, version.programVersion());
    } else if (entry instanceof TeamUsageEntry team) {
      out.writeNumberField(StoredFields.CPUS, team.reservedCpus());
      out.writeNumberField(StoredFields.GPUS, team.reservedGpus());
    } else if (entry instanceof DigestEntry digest) {
      write(out, digest);
    } else if (entry instanceof RunStateExchangeEntry exchange) {
      StoredRunStates.write(out, exchange);
    } else if (entry instanceof CompletionBitsEntry bits) {
      out.writeBinaryField(StoredFields.COMPLETED_BITS, bits.bits());
    } else if (entry instanceof AutoscalerLeaderEntry autoscalerLeader) {
      writeProcess(out, autoscalerLeader.node(), autoscalerLeader.incarnation());
    } else if (entry instanceof IncarnationCounterEntry counter) {
      out.writeNumberField(StoredFields.COUNTER, counter.value());
    }
    out.writeEndObject();
  }

  private static void writeProcess(JsonGenerator out, String node, long incarnation)
      throws IOException {
    out.writeStringField(StoredFields.NODE, node);
    out.writeNumberField(StoredFields.INCARNATION, incarnation);
  }

  private static void write(JsonGenerator out, MachineEntry machine) throws IOException {
    writeProcess(out, machine.node(), machine.incarnation());
    out.writeNumberField(StoredFields.TOKEN, machine.fencingToken());
    out.writeStringField(StoredFields.TYPE, machine.type());
    out.writeStringField(StoredFields.ZONE, machine.zone());
    out.writeBooleanField(StoredFields.SPOT, machine.spot());
  }

  private static void write(JsonGenerator out, MachineGroupEntry group) throws IOException {
    writeProcess(out, group.node(), group.incarnation());
    JsonWriter.list(out, StoredFields.MACHINES, group.machines(), StoredEntries::writeMember);
  }

  private static void writeMember(JsonGenerator out, MachineGroupMember member) throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.ID, member.id());
    out.writeStringField(StoredFields.TYPE, member.type());
    out.writeStringField(StoredFields.ZONE, member.zone());
    out.writeBooleanField(StoredFields.SPOT, member.spot());
    out.writeEndObject();
  }

  private static void write(JsonGenerator out, DigestEntry digest) throws IOException {
    out.writeNumberField(StoredFields.INCARNATION, digest.incarnation());
    JsonWriter.list(
        out, StoredFields.FREE_CAPACITY, digest.freeCapacities(), StoredEntries::writeFreeCapacity);
    out.writeNumberField(StoredFields.PENDING_CPUS, digest.pendingCpus());
  }

  private static void writeFreeCapacity(JsonGenerator out, FreeCapacity capacity)
      throws IOException {
    out.writeStartObject();
    out.writeStringField(StoredFields.MACHINE, capacity.machine());
    out.writeNumberField(StoredFields.CPUS, capacity.freeCpus());
    out.writeNumberField(StoredFields.GPUS, capacity.freeGpus());
    out.writeNumberField(StoredFields.MEMORY_GB, capacity.freeMemoryGb());
    out.writeEndObject();
  }

  private static SessionEntry session(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        default -> in.skip();
      }
    }
    return new SessionEntry(node, incarnation);
  }

  private static AutoscalerLeaderEntry autoscalerLeader(JsonReader in) throws IOException {
    SessionEntry process = session(in);
    return new AutoscalerLeaderEntry(process.node(), process.incarnation());
  }

  private static VersionEntry version(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    int programVersion = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.VERSION -> programVersion = in.intOrZero();
        default -> in.skip();
      }
    }
    return new VersionEntry(node, incarnation, programVersion);
  }

  private static MachineEntry machine(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    long fencingToken = 0;
    String type = null;
    String zone = null;
    boolean spot = false;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.TOKEN -> fencingToken = in.longOrZero();
        case StoredFields.TYPE -> type = in.string();
        case StoredFields.ZONE -> zone = in.string();
        case StoredFields.SPOT -> spot = in.booleanOrFalse();
        default -> in.skip();
      }
    }
    return new MachineEntry(node, incarnation, fencingToken, type, zone, spot);
  }

  private static MachineGroupEntry group(JsonReader in) throws IOException {
    String node = null;
    long incarnation = 0;
    List<MachineGroupMember> machines = null;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.NODE -> node = in.string();
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.MACHINES -> machines = in.list(StoredEntries::member);
        default -> in.skip();
      }
    }
    return new MachineGroupEntry(node, incarnation, machines);
  }

  private static MachineGroupMember member(JsonReader in) throws IOException {
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
    return new MachineGroupMember(id, type, zone, spot);
  }

  private static TeamUsageEntry team(JsonReader in) throws IOException {
    double cpus = 0;
    double gpus = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.CPUS -> cpus = in.doubleOrZero();
        case StoredFields.GPUS -> gpus = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new TeamUsageEntry(cpus, gpus);
  }

  private static DigestEntry digest(JsonReader in) throws IOException {
    long incarnation = 0;
    List<FreeCapacity> freeCapacities = null;
    double pendingCpus = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.INCARNATION -> incarnation = in.longOrZero();
        case StoredFields.FREE_CAPACITY -> freeCapacities = in.list(StoredEntries::freeCapacity);
        case StoredFields.PENDING_CPUS -> pendingCpus = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new DigestEntry(incarnation, freeCapacities, pendingCpus);
  }

  private static FreeCapacity freeCapacity(JsonReader in) throws IOException {
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
    return new FreeCapacity(machine, cpus, gpus, memoryGb);
  }

  private static CompletionBitsEntry completionBits(JsonReader in) throws IOException {
    byte[] bits = null;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.COMPLETED_BITS -> bits = in.bytes();
        default -> in.skip();
      }
    }
    return new CompletionBitsEntry(bits);
  }

  private static IncarnationCounterEntry counter(JsonReader in) throws IOException {
    long value = 0;
    while (in.nextField()) {
      switch (in.field()) {
        case StoredFields.COUNTER -> value = in.longOrZero();
        default -> in.skip();
      }
    }
    return new IncarnationCounterEntry(value);
  }
}
