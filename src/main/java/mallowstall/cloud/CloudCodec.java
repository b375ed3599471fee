package mallowstall.cloud;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import mallowstall.core.model.ListedMachine;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.json.JsonReader;

/**
 * Encodes and decodes the JSON bodies of the cloud's HTTP interface. {@link CloudProtocol} holds
 * the field names.
 */
final class CloudCodec {
  private CloudCodec() {}

  /**
   * A page of the inventory. {@code machines} is null if the response has no list of machines, and
   * {@code hasMore} is true if another page follows.
   */
  record Page(List<ListedMachine> machines, boolean hasMore) {}

  /** Returns the machine types in a response, or null if the response has none. */
  static List<MachineType> readTypes(JsonReader in) throws IOException {
    return in.fieldOrNull(CloudProtocol.TYPES, types -> types.list(CloudCodec::readType));
  }

  private static MachineType readType(JsonReader in) throws IOException {
    String name = null;
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;
    double cacheGb = 0;
    double fetchGbPerS = 0;
    double price = 0;
    double spotPrice = 0;
    double bootS = 0;
    List<String> zones = null;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case CloudProtocol.TYPE_NAME -> name = in.string();
        case CloudProtocol.CPUS -> cpus = in.doubleOrZero();
        case CloudProtocol.GPUS -> gpus = in.doubleOrZero();
        case CloudProtocol.MEMORY_GB -> memoryGb = in.doubleOrZero();
        case CloudProtocol.CACHE_GB -> cacheGb = in.doubleOrZero();
        case CloudProtocol.FETCH_GB_PER_S -> fetchGbPerS = in.doubleOrZero();
        case CloudProtocol.PRICE -> price = in.doubleOrZero();
        case CloudProtocol.SPOT_PRICE -> spotPrice = in.doubleOrZero();
        case CloudProtocol.BOOT_S -> bootS = in.doubleOrZero();
        case CloudProtocol.ZONES -> zones = in.strings();
        default -> in.skip();
      }
    }
    return new MachineType(
        name,
        cpus,
        gpus,
        memoryGb,
        cacheGb,
        fetchGbPerS,
        price,
        spotPrice,
        bootS,
        zones == null ? List.of() : zones);
  }

  /** Writes the fields of a scale-out request into an open JSON object. */
  static void writeScaleOut(JsonGenerator out, ScaleOutRequest request) throws IOException {
    out.writeStringField(CloudProtocol.REQUEST_NAME, request.name());
    out.writeStringField(CloudProtocol.MACHINE_TYPE, request.type());
    out.writeStringField(CloudProtocol.ZONE, request.zone());
    out.writeBooleanField(CloudProtocol.SPOT, request.spot());
    out.writeNumberField(CloudProtocol.COUNT, request.count());
  }

  /** Returns the ids of the machines in a response, or an empty list if the response has none. */
  static List<String> readMachineNames(JsonReader in) throws IOException {
    List<String> names = in.fieldOrNull(CloudProtocol.MACHINES, JsonReader::strings);
    return names == null ? List.of() : names;
  }

  /** Reads a page of the inventory. Returns null if the response is JSON null. */
  static Page readPage(JsonReader in) throws IOException {
    List<ListedMachine> machines = null;
    boolean hasMore = false;
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    while (in.nextField()) {
      switch (in.field()) {
        case CloudProtocol.MACHINES -> machines = in.list(CloudCodec::readMachine);
        case CloudProtocol.HAS_MORE -> hasMore = in.booleanOrFalse();
        default -> in.skip();
      }
    }
    return new Page(machines, hasMore);
  }

  private static ListedMachine readMachine(JsonReader in) throws IOException {
    String id = null;
    String type = null;
    String zone = null;
    boolean spot = false;
    String state = null;
    double ageS = 0;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case CloudProtocol.MACHINE -> id = in.string();
        case CloudProtocol.MACHINE_TYPE -> type = in.string();
        case CloudProtocol.ZONE -> zone = in.string();
        case CloudProtocol.SPOT -> spot = in.booleanOrFalse();
        case CloudProtocol.STATE -> state = in.string();
        case CloudProtocol.AGE_S -> ageS = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new ListedMachine(id, type, zone, spot, state == null ? "" : state, ageS);
  }
}
