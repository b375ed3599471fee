package mallowstall.workers;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.api.HeartbeatReceiver;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.WorkerCommand;
import mallowstall.json.JsonWriter;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.net.HttpStatus;
import mallowstall.net.SocketAddresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes heartbeats of workers to the core, responds to them, and sends direct commands to workers'
 * own addresses (see the protocol, section Workers). All methods run on the event loop.
 */
public final class WorkerHttpAdapter {
  private static final byte[] EMPTY_OBJECT = {'{', '}'};
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.workers");

  /**
   * Maximum number of clients that are kept, one per worker address. When a further client is
   * needed, the least recently used one is retired; a command to its address opens a new
   * connection.
   */
  private final int maxClients;

  private final HeartbeatReceiver core;
  private final EventLoop loop;
  private final Consumer<Runnable> events;
  private final Object2ObjectLinkedOpenHashMap<String, HttpClient> clients =
      new Object2ObjectLinkedOpenHashMap<>();

  /**
   * Creates an adapter.
   *
   * @param events runs callbacks of commands as events of the core
   * @param maxClients maximum number of worker addresses to which a client is kept
   */
  public WorkerHttpAdapter(
      HeartbeatReceiver core, EventLoop loop, Consumer<Runnable> events, int maxClients) {
    this.maxClients = maxClients;
    this.core = core;
    this.loop = loop;
    this.events = events;
  }

  /**
   * Handles POST /hello: passes the heartbeat to the core and sends the core's response.
   *
   * @throws IOException if the body is not a valid heartbeat
   */
  public void handleHeartbeat(Request request, Responder responder) throws IOException {
    core.handleHeartbeat(
        HeartbeatCodec.read(request.body()), response -> respond(response, responder));
  }

  /**
   * Sends direct commands to the worker's own address. The callback receives {@link
   * ResultCode#REJECTED} if the address is invalid.
   */
  public void sendCommands(
      String address,
      long fencingToken,
      long session,
      List<WorkerCommand> commands,
      Consumer<CommandResult> callback) {
    HttpClient client = clients.getAndMoveToLast(address);
    if (client == null) {
      try {
        client = new HttpClient(loop, SocketAddresses.parse(address), 1);
      } catch (IllegalArgumentException e) {
        callback.accept(new CommandResult(ResultCode.REJECTED, null));
        return;
      }
      // Only the least recently used client is retired: the others may have calls in progress.
      if (clients.size() >= maxClients) {
        clients.removeFirst().retire();
      }
      clients.put(address, client);
    }
    byte[] body =
        JsonWriter.object(
            out -> HeartbeatCodec.writeCommands(out, fencingToken, session, commands));
    client.call(
        HttpMethod.POST,
        WorkerProtocol.COMMANDS_PATH,
        body,
        Constants.COMMAND_REQUEST_TIMEOUT_MS,
        reply -> events.accept(() -> callback.accept(commandResult(reply))));
  }

  private CommandResult commandResult(HttpClient.Reply reply) {
    ResultCode code =
        switch (reply.status()) {
          case HttpStatus.OK -> ResultCode.OK;
          case HttpStatus.CONFLICT, HttpStatus.BAD_REQUEST -> ResultCode.CONFLICT;
          case HttpClient.Reply.NOT_SENT -> ResultCode.REJECTED;
          default -> ResultCode.OUTCOME_UNKNOWN;
        };
    if (reply.status() != HttpStatus.OK && reply.status() != HttpStatus.CONFLICT) {
      return new CommandResult(code, null);
    }
    try {
      return new CommandResult(code, HeartbeatCodec.read(reply.body()));
    } catch (IOException failure) {
      LOG.error("unreadable heartbeat in a worker's response reason={}", failure.getMessage());
      return new CommandResult(code, null);
    }
  }

  private static void respond(HeartbeatResponse response, Responder responder) {
    switch (response.status()) {
      case HttpStatus.OK ->
          responder.answer(
              HttpStatus.OK,
              JsonWriter.object(
                  out ->
                      HeartbeatCodec.writeResponse(
                          out, response.fencingToken(), response.commands())),
              0);
      case HttpStatus.MISDIRECTED_REQUEST ->
          responder.answer(HttpStatus.MISDIRECTED_REQUEST, redirect(response.redirectTo()), 0);
      default -> responder.answer(response.status(), EMPTY_OBJECT, 1);
    }
  }

  /**
   * Returns the body of a redirect, which names the controller that the worker sends heartbeats to.
   * The body is an empty object if {@code node} is null.
   */
  private static byte[] redirect(String node) {
    return node == null
        ? EMPTY_OBJECT
        : JsonWriter.object(out -> out.writeStringField(WorkerProtocol.REDIRECT_TO, node));
  }
}
