import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on to a port on loopback; a cut holds what is sent, or resets. */
final class Proxy {
  final int port;
  private volatile boolean held;
  private volatile boolean refused;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  Proxy(int target) throws IOException {
    ServerSocket server = Http.listen(0);
    port = server.getLocalPort();
    Http.thread(
        "proxy-" + port,
        () -> {
          while (true) {
            try {
              Socket socket = server.accept();
              if (refused || held) {
                reset(socket);
                continue;
              }
              Socket onward = new Socket();
              try {
                onward.connect(Http.loopback(target), 1_000);
              } catch (IOException e) {
                reset(socket);
                continue;
              }
              socket.setTcpNoDelay(true);
              onward.setTcpNoDelay(true);
              open.add(socket);
              open.add(onward);
              Http.thread("to-" + target, () -> pass(socket, onward));
              Http.thread("from-" + target, () -> pass(onward, socket));
            } catch (IOException e) {
              // this connection failed
            }
          }
        });
  }

  /** Holds what is sent from now on, or resets all connections and refuses new ones. */
  void cut(boolean hold) {
    if (hold) {
      held = true;
    } else {
      refused = true;
      open.forEach(Proxy::reset);
    }
  }

  /** Ends the cut: what was held is delivered. */
  void heal() {
    held = false;
    refused = false;
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // closed already
    }
    Http.quietly(socket);
  }

  private void pass(Socket a, Socket b) {
    try {
      InputStream in = a.getInputStream();
      OutputStream out = b.getOutputStream();
      byte[] buffer = new byte[65_536];
      while (true) {
        int read = in.read(buffer);
        while (held) {
          Lab.sleep(5);
        }
        if (read < 0) {
          break;
        }
        out.write(buffer, 0, read);
      }
    } catch (IOException e) {
      // one side has ended
    }
    open.remove(a);
    open.remove(b);
    Http.quietly(a);
    Http.quietly(b);
  }
}
