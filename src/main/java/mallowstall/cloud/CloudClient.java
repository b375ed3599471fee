package mallowstall.cloud;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.ListedReply;
import mallowstall.core.Effects.RentReply;
import mallowstall.core.Model.Listed;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.RentRequest;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud's HTTP interface. */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.cloud");

  /** A page of listed machines; null: the answer has none. */
  private record Page(List<Listed> machines, boolean more) {}

  private static final int PAGE = 500;
  private static final String MACHINES = "sierras";

  private final HttpClient http;
  private final Consumer<Runnable> events;

  /** Turns the core's requests into calls of the cloud. */
  public CloudClient(HttpClient http, Consumer<Runnable> events) {
    this.http = http;
    this.events = events;
  }

  private <T> void call(
      HttpMethod m,
      String path,
      byte[] body,
      JsonReader.ValueReader<T> answer,
      BiConsumer<Integer, T> then) {
    http.call(
        m,
        path,
        body,
        Constants.CLOUD_TIMEOUT_MS,
        reply ->
            events.accept(
                () ->
                    then.accept(
                        reply.status(),
                        reply.status() == 200 && answer != null
                            ? read(reply.body(), answer)
                            : null)));
  }

  private static <T> T read(byte[] body, JsonReader.ValueReader<T> answer) {
    try {
      return JsonReader.read(body, answer);
    } catch (IOException failure) {
      LOG.error("unreadable answer of the cloud: {}", failure.getMessage());
      return null;
    }
  }

  /** See {@link mallowstall.core.Effects#types}. */
  public void types(Consumer<List<MachineType>> then) {
    call(
        HttpMethod.GET,
        "/flavors",
        null,
        in -> in.fieldOrNull("calibres", types -> types.list(CloudClient::type)),
        (status, types) -> then.accept(types));
  }

  private static MachineType type(JsonReader in) throws IOException {
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
        case "label" -> name = in.string();
        case "vcpus" -> cpus = in.doubleOrZero();
        case "gpus" -> gpus = in.doubleOrZero();
        case "mem_gb" -> memoryGb = in.doubleOrZero();
        case "local_gb" -> cacheGb = in.doubleOrZero();
        case "fetch_gb_per_s" -> fetchGbPerS = in.doubleOrZero();
        case "rate" -> price = in.doubleOrZero();
        case "market_price" -> spotPrice = in.doubleOrZero();
        case "ready_s" -> bootS = in.doubleOrZero();
        case "patios" -> zones = in.strings();
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

  /** See {@link mallowstall.core.Effects#rent}. */
  public void rent(RentRequest request, Consumer<RentReply> then) {
    call(
        HttpMethod.POST,
        "/machines",
        JsonWriter.object(out -> write(out, request)),
        CloudClient::names,
        (status, names) ->
            then.accept(
                new RentReply(
                    names == null && status == 200 ? 0 : status,
                    names == null ? List.of() : names)));
  }

  private static void write(JsonGenerator out, RentRequest request) throws IOException {
    out.writeStringField("alquiler", request.name());
    out.writeStringField("calibre", request.type());
    out.writeStringField("patio", request.zone());
    out.writeBooleanField("prestados", request.spot());
    out.writeNumberField("how_many", request.count());
  }

  /** The names of machines in an answer. */
  private static List<String> names(JsonReader in) throws IOException {
    List<String> names = in.fieldOrNull(MACHINES, JsonReader::strings);
    return names == null ? List.of() : names;
  }

  /** See {@link mallowstall.core.Effects#returnMachines}. */
  public void returnMachines(List<String> machines, Consumer<Boolean> then) {
    call(
        HttpMethod.POST,
        "/machines/return",
        JsonWriter.object(out -> JsonWriter.strings(out, MACHINES, machines)),
        null,
        (status, nothing) -> then.accept(status == 200));
  }

  /** See {@link mallowstall.core.Effects#listMachines}. */
  public void listMachines(String after, Consumer<ListedReply> then) {
    call(
        HttpMethod.GET,
        "/machines?" + (after == null ? "" : "after=" + after + "&") + "page=" + PAGE,
        null,
        CloudClient::page,
        (status, page) -> {
          if (page == null || page.machines() == null) {
            then.accept(new ListedReply(false, List.of(), false));
          } else {
            then.accept(new ListedReply(true, page.machines(), page.more()));
          }
        });
  }

  private static Page page(JsonReader in) throws IOException {
    List<Listed> machines = null;
    boolean more = false;
    if (!in.enterObjectIfPresent()) {
      return null;
    }
    while (in.nextField()) {
      switch (in.field()) {
        case MACHINES -> machines = in.list(CloudClient::listed);
        case "has_next" -> more = in.booleanOrFalse();
        default -> in.skip();
      }
    }
    return new Page(machines, more);
  }

  private static Listed listed(JsonReader in) throws IOException {
    String id = null;
    String type = null;
    String zone = null;
    boolean spot = false;
    String state = null;
    double ageS = 0;
    in.enterObject();
    while (in.nextField()) {
      switch (in.field()) {
        case "ref" -> id = in.string();
        case "calibre" -> type = in.string();
        case "patio" -> zone = in.string();
        case "prestados" -> spot = in.booleanOrFalse();
        case "estado" -> state = in.string();
        case "held_s" -> ageS = in.doubleOrZero();
        default -> in.skip();
      }
    }
    return new Listed(id, type, zone, spot, state == null ? "" : state, ageS);
  }
}
