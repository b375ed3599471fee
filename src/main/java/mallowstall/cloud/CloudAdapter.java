package mallowstall.cloud;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.Effects.ListedReply;
import mallowstall.core.Effects.RentReply;
import mallowstall.core.Model.Listed;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.RentRequest;
import mallowstall.net.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud's HTTP interface. */
public final class CloudAdapter {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.cloud");

  /** A machine type as it is sent. */
  record TypeWire(
      @JsonProperty("label") String name,
      @JsonProperty("vcpus") double cpus,
      @JsonProperty("gpus") double gpus,
      @JsonProperty("mem_gb") double memoryGb,
      @JsonProperty("local_gb") double cacheGb,
      @JsonProperty("fetch_gb_per_s") double fetchGbPerS,
      @JsonProperty("rate") double price,
      @JsonProperty("market_price") double spotPrice,
      @JsonProperty("ready_s") double bootS,
      @JsonProperty("patios") List<String> zones) {}

  /** All machine types. */
  record TypesWire(@JsonProperty("calibres") List<TypeWire> types) {}

  /** A rental request as it is sent. */
  record RentWire(
      @JsonProperty("alquiler") String request,
      @JsonProperty("calibre") String type,
      @JsonProperty("patio") String zone,
      @JsonProperty("prestados") boolean spot,
      @JsonProperty("how_many") int count) {}

  /** Names of machines. */
  record NamesWire(@JsonProperty("sierras") List<String> machines) {}

  /** A listed machine. */
  record MachineWire(
      @JsonProperty("ref") String id,
      @JsonProperty("calibre") String type,
      @JsonProperty("patio") String zone,
      @JsonProperty("prestados") boolean spot,
      @JsonProperty("estado") String state,
      @JsonProperty("held_s") double ageS) {}

  /** A page of listed machines. */
  record MachinesWire(
      @JsonProperty("sierras") List<MachineWire> machines,
      @JsonProperty("has_next") boolean more) {}

  private static final int PAGE = 500;

  private final ObjectMapper json;
  private final HttpClient http;
  private final Consumer<Runnable> events;

  /** Turns the core's requests into calls of the cloud. */
  public CloudAdapter(ObjectMapper json, HttpClient http, Consumer<Runnable> events) {
    this.json = json;
    this.http = http;
    this.events = events;
  }

  private <T> void call(
      HttpMethod m,
      String path,
      Object body,
      Class<T> type,
      java.util.function.BiConsumer<Integer, T> then) {
    byte[] b;
    try {
      b = body == null ? null : json.writeValueAsBytes(body);
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
    http.call(
        m,
        path,
        b,
        Constants.CLOUD_TIMEOUT_MS,
        reply ->
            events.accept(
                () -> {
                  T task = null;
                  if (reply.status() == 200 && type != null) {
                    try {
                      task = json.readValue(reply.body(), type);
                    } catch (IOException error) {
                      LOG.error("unreadable answer of the cloud: {}", error.getMessage());
                    }
                  }
                  then.accept(reply.status(), task);
                }));
  }

  /** See {@link mallowstall.core.Effects#types}. */
  public void types(Consumer<List<MachineType>> then) {
    call(
        HttpMethod.GET,
        "/flavors",
        null,
        TypesWire.class,
        (status, w) -> {
          if (w == null || w.types() == null) {
            then.accept(null);
            return;
          }
          List<MachineType> out = new ArrayList<>();
          for (TypeWire t : w.types()) {
            out.add(
                new MachineType(
                    t.name,
                    t.cpus,
                    t.gpus,
                    t.memoryGb,
                    t.cacheGb,
                    t.fetchGbPerS,
                    t.price,
                    t.spotPrice,
                    t.bootS,
                    t.zones == null ? List.of() : t.zones));
          }
          then.accept(out);
        });
  }

  /** See {@link mallowstall.core.Effects#rent}. */
  public void rent(RentRequest request, Consumer<RentReply> then) {
    call(
        HttpMethod.POST,
        "/machines",
        new RentWire(
            request.name(), request.type(), request.zone(), request.spot(), request.count()),
        NamesWire.class,
        (status, w) ->
            then.accept(
                new RentReply(
                    w == null && status == 200 ? 0 : status,
                    w == null || w.machines() == null ? List.of() : w.machines())));
  }

  /** See {@link mallowstall.core.Effects#returnMachines}. */
  public void returnMachines(List<String> machines, Consumer<Boolean> then) {
    call(
        HttpMethod.POST,
        "/machines/return",
        new NamesWire(machines),
        null,
        (status, w) -> then.accept(status == 200));
  }

  /** See {@link mallowstall.core.Effects#listMachines}. */
  public void listMachines(String after, Consumer<ListedReply> then) {
    call(
        HttpMethod.GET,
        "/machines?" + (after == null ? "" : "after=" + after + "&") + "page=" + PAGE,
        null,
        MachinesWire.class,
        (status, w) -> {
          if (w == null || w.machines() == null) {
            then.accept(new ListedReply(false, List.of(), false));
            return;
          }
          List<Listed> out = new ArrayList<>();
          for (MachineWire m : w.machines()) {
            out.add(
                new Listed(m.id, m.type, m.zone, m.spot, m.state == null ? "" : m.state, m.ageS));
          }
          then.accept(new ListedReply(true, out, w.more()));
        });
  }
}
