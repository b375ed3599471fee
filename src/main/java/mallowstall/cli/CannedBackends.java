package mallowstall.cli;

import java.nio.charset.StandardCharsets;
import mallowstall.net.HttpServer.Handler;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.net.HttpStatus;

/**
 * Canned responses of the state service, the cloud and one worker, which {@link WarmUp} uses. The
 * state service is empty and accepts every change, the cloud has one machine type, and the worker
 * rejects all commands.
 */
final class CannedBackends implements Handler {
  private static final String NO_ENTRIES = "{\"entries\":[],\"has_next\":false,\"tirada\":";
  private static final String MACHINE_TYPES =
      "{\"calibres\":[{\"label\":\"x\",\"vcpus\":8,\"gpus\":0,\"mem_gb\":32,\"local_gb\":9,"
          + "\"fetch_gb_per_s\":1.0,\"rate\":1.0,\"market_price\":0.3,\"ready_s\":9,\"patios\":[\"z\"]}]}";
  private static final String NO_MACHINES = "{\"sierras\":[],\"has_next\":false}";
  private static final String NONE_RENTED = "{\"sierras\":[]}";
  private static final String HEARTBEAT =
      "{\"sierra\":\"m-000001\",\"addr\":\"\",\"calibre\":\"x\",\"patio\":\"z\",\"turno\":1,\"folio\":1,"
          + "\"baston\":1,\"piezas\":[]}";

  private int revision = 1;

  @Override
  public void handle(Request request, Responder responder) {
    String path = request.path();
    if (path.equals("/multi")) {
      revision++;
      answer(responder, HttpStatus.OK, "{\"tirada\":" + revision + "}");
    } else if (path.startsWith("/leases")) {
      answer(responder, HttpStatus.OK, "{\"permiso\":1}");
    } else if (path.startsWith("/keys?")) {
      answer(responder, HttpStatus.OK, NO_ENTRIES + revision + "}");
    } else if (path.startsWith("/keys/")) {
      answer(responder, HttpStatus.NOT_FOUND, "{\"tirada\":" + revision + "}");
    } else if (path.startsWith("/changes")) {
      answer(responder, HttpStatus.OK, "{\"tirada\":" + revision + ",\"events\":[]}");
    } else if (path.equals("/flavors")) {
      answer(responder, HttpStatus.OK, MACHINE_TYPES);
    } else if (path.startsWith("/machines?")) {
      answer(responder, HttpStatus.OK, NO_MACHINES);
    } else if (path.equals("/orders")) {
      answer(responder, HttpStatus.CONFLICT, HEARTBEAT);
    } else {
      answer(responder, HttpStatus.OK, NONE_RENTED);
    }
  }

  private static void answer(Responder responder, int status, String json) {
    responder.answer(status, json.getBytes(StandardCharsets.UTF_8), 0);
  }
}
