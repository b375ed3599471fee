package mallowstall.cloud;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mallowstall.Constants;
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
 * the inventory. Runs on the event loop; each response comes back as one event of the core.
 */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.cloud");

  private static final int PAGE_SIZE = 500;

  private final HttpClient http;
  private final Consumer<Runnable> events;

  /** Turns the core's requests into calls of the cloud. */
  public CloudClient(HttpClient http, Consumer<Runnable> events) {
    this.http = http;
    this.events = events;
  }

  private <T> void call(
      HttpMethod method,
      String path,
      byte[] body,
      JsonReader.ValueReader<T> content,
      BiConsumer<Integer, T> then) {
    http.call(
        method,
        path,
        body,
        Constants.CLOUD_TIMEOUT_MS,
        reply ->
            events.accept(
                () ->
                    then.accept(
                        reply.status(),
                        reply.status() == HttpStatus.OK && content != null
                            ? JsonReader.readOrNull(reply.body(), content, CloudClient::unreadable)
                            : null)));
  }

  private static void unreadable(IOException failure) {
    LOG.error("unreadable response of the cloud reason={}", failure.getMessage());
  }

  /** See {@link Effects#fetchMachineTypes}. */
  public void types(Consumer<List<MachineType>> then) {
    call(
        HttpMethod.GET,
        CloudProtocol.TYPES_PATH,
        null,
        CloudCodec::readTypes,
        (status, types) -> then.accept(types));
  }

  /** See {@link Effects#scaleOut}. */
  public void rent(ScaleOutRequest request, Consumer<ScaleOutResult> then) {
    call(
        HttpMethod.POST,
        CloudProtocol.MACHINES_PATH,
        JsonWriter.object(out -> CloudCodec.writeScaleOut(out, request)),
        CloudCodec::readMachineNames,
        (status, names) ->
            then.accept(
                new ScaleOutResult(
                    names == null && status == HttpStatus.OK
                        ? HttpClient.Reply.NO_RESPONSE
                        : status,
                    names == null ? List.of() : names)));
  }

  /** See {@link Effects#scaleIn}. */
  public void returnMachines(List<String> machines, Consumer<Boolean> then) {
    call(
        HttpMethod.POST,
        CloudProtocol.RETURN_PATH,
        JsonWriter.object(out -> JsonWriter.strings(out, CloudProtocol.MACHINES, machines)),
        null,
        (status, nothing) -> then.accept(status == HttpStatus.OK));
  }

  /** See {@link Effects#listMachines}. */
  public void listMachines(String after, Consumer<InventoryPage> then) {
    call(
        HttpMethod.GET,
        CloudProtocol.inventoryPath(after, PAGE_SIZE),
        null,
        CloudCodec::readPage,
        (status, page) -> {
          if (page == null || page.machines() == null) {
            then.accept(new InventoryPage(false, List.of(), false));
          } else {
            then.accept(new InventoryPage(true, page.machines(), page.more()));
          }
        });
  }
}
