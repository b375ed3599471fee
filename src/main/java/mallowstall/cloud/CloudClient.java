package mallowstall.cloud;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.json.JsonReader;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the cloud's HTTP interface (protocol, Cloud): machine types, scale-out, scale-in and
 * the inventory. Runs on the event loop. Each callback runs as one event of the core.
 */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.cloud");

  /** Time in milliseconds after which a request to the cloud without a response fails. */
  private static final long CLOUD_TIMEOUT_MS = 5_000;

  private static final int PAGE_SIZE = 500;

  private final HttpClient http;
  private final Consumer<Runnable> events;

  /**
   * Creates a client that sends its requests through {@code http}. {@code events} runs each task
   * that it receives as one event of the core.
   */
  public CloudClient(HttpClient http, Consumer<Runnable> events) {
    this.http = http;
    this.events = events;
  }

  private <T> void call(
      HttpMethod method,
      String path,
      byte[] body,
      JsonReader.ValueReader<T> content,
      BiConsumer<Integer, T> callback) {
    http.call(
        method,
        path,
        body,
        CLOUD_TIMEOUT_MS,
        reply ->
            events.accept(
                () ->
                    callback.accept(
                        reply.status(),
                        reply.status() == HttpStatus.OK && content != null
                            ? JsonReader.readOrNull(reply.body(), content, CloudClient::unreadable)
                            : null)));
  }

  private static void unreadable(IOException failure) {
    LOG.error("unreadable response of the cloud reason={}", failure.getMessage());
  }

  /** See {@link Effects#fetchMachineTypes}. */
  public void fetchMachineTypes(Consumer<List<MachineType>> callback) {
    call(
        HttpMethod.GET,
        CloudProtocol.TYPES_PATH,
        null,
        CloudCodec::readTypes,
        (status, types) -> callback.accept(types));
  }

  /** See {@link Effects#scaleOut}. */
  public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> callback) {
    call(
        HttpMethod.POST,
        CloudProtocol.MACHINES_PATH,
        JsonWriter.object(out -> CloudCodec.writeScaleOut(out, request)),
        CloudCodec::readMachineNames,
        (status, names) ->
            callback.accept(
                new ScaleOutResult(
                    names == null && status == HttpStatus.OK
                        ? HttpClient.Reply.NO_RESPONSE
                        : status,
                    names == null ? List.of() : names)));
  }

  /** See {@link Effects#scaleIn}. */
  public void scaleIn(List<String> machines, Consumer<Boolean> callback) {
    call(
        HttpMethod.POST,
        CloudProtocol.SCALE_IN_PATH,
        JsonWriter.object(out -> JsonWriter.strings(out, CloudProtocol.MACHINES, machines)),
        null,
        (status, ignored) -> callback.accept(status == HttpStatus.OK));
  }

  /** See {@link Effects#listMachines}. */
  public void listMachines(String afterId, Consumer<InventoryPage> callback) {
    call(
        HttpMethod.GET,
        CloudProtocol.inventoryPath(afterId, PAGE_SIZE),
        null,
        CloudCodec::readPage,
        (status, page) -> {
          if (page == null || page.machines() == null) {
            callback.accept(new InventoryPage(false, List.of(), false));
          } else {
            callback.accept(new InventoryPage(true, page.machines(), page.hasMore()));
          }
        });
  }
}
