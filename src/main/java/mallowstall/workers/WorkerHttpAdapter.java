package mallowstall.workers;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.ControllerCore;
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
 * Heartbeats of workers with their responses, and commands sent to workers' own addresses
 * (protocol, Workers). Runs on the event loop.
 */
public final class WorkerHttpAdapter {
  private static final byte[] EMPTY = {'{', '}'};
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.workers");

  /** Connections kept to workers' own addresses; beyond it they are opened anew. */
  private final int maxClients;

  private final ControllerCore core;
  private final EventLoop loop;
  private final Consumer<Runnable> events;
  private final Object2ObjectLinkedOpenHashMap<String, HttpClient> clients =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Turns heartbeats into events of the core, and its commands into requests. */
  public WorkerHttpAdapter(
      ControllerCore core, EventLoop loop, Consumer<Runnable> events, int maxClients) {
    this.maxClients = maxClients;
    this.core = core;
    this.loop = loop;
    this.events = events;
  }

  /** POST /hello. */
  public void handleHeartbeat(Request request, Responder responder) throws IOException {
    core.handleHeartbeat(
        HeartbeatCodec.read(request.body()), response -> respond(response, responder));
  }

  /** Commands to the worker's own address. */
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
      // only the least recently used one is retired: the others may have calls under way
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
      default -> responder.answer(response.status(), EMPTY, 1);
    }
  }

  /** The body that names the controller to report to, if one is known. */
  private static byte[] redirect(String node) {
    return node == null
        ? EMPTY
        : JsonWriter.object(out -> out.writeStringField(WorkerProtocol.REDIRECT_TO, node));
  }
}
