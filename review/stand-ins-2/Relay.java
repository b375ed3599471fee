import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Stands on the way to a worker's own address and keeps the requests that were carried out. */
final class Relay {
  private final int target;
  private final Http.Server server;
  private final List<Http.Request> carriedOut = new ArrayList<>();

  Relay(int target) throws IOException {
    this.target = target;
    server = new Http.Server(0, this::forward);
  }

  int port() {
    return server.port;
  }

  private Http.Reply forward(Http.Request request) {
    Http.Reply reply =
        Http.call(target, request.method(), request.path(), request.body(), 5_000);
    if (reply != null && reply.status() == 200 && request.path().equals("/orders")) {
      synchronized (carriedOut) {
        carriedOut.add(request);
      }
    }
    return reply;
  }

  /** Returns the newest request that was carried out and held a start of the task, or null. */
  Http.Request startOf(String task) {
    synchronized (carriedOut) {
      for (int i = carriedOut.size() - 1; i >= 0; i--) {
        for (Object order : (List<?>) Json.object(carriedOut.get(i).body()).get("ordenes")) {
          java.util.Map<?, ?> command = (java.util.Map<?, ?>) order;
          if (command.get("orden").equals("run") && command.get("pieza").equals(task)) {
            return carriedOut.get(i);
          }
        }
      }
      return null;
    }
  }

  /** Sends a copy of the request. */
  Http.Reply repeat(Http.Request request) {
    return Http.call(target, request.method(), request.path(), request.body(), 2_000);
  }
}
