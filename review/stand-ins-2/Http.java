import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback, with a thread for each connection. */
final class Http {
  private Http() {}

  record Request(String method, String path, String body) {}

  record Reply(int status, String body, boolean close) {
    Reply(int status, String body) {
      this(status, body, false);
    }
  }

  interface Handler {
    /** Returns the reply, or null to end the connection without one. */
    Reply handle(Request request) throws Exception;
  }

  static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  static ServerSocket listen(int port) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(loopback(port), 512);
    return server;
  }

  /** Returns a free port below those that outgoing connections take. */
  static int freePort() {
    java.util.Random random = new java.util.Random();
    while (true) {
      int port = 12_000 + random.nextInt(18_000);
      try (ServerSocket server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return server.getLocalPort();
      } catch (IOException e) {
        // taken: try another
      }
    }
  }

  static void thread(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  static void quietly(Closeable closeable) {
    try {
      if (closeable != null) {
        closeable.close();
      }
    } catch (IOException e) {
      // closed already
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        throw new EOFException();
      }
      if (b == '\n') {
        return out.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      out.write(b);
    }
  }

  /** A message: its first line, its body and whether the connection is to be closed after it. */
  private record Message(String first, String body, boolean close) {}

  private static Message read(InputStream in) throws IOException {
    String first = line(in);
    int length = 0;
    boolean close = false;
    while (true) {
      String header = line(in);
      if (header.isEmpty()) {
        break;
      }
      String lower = header.toLowerCase();
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(15).trim());
      } else if (lower.startsWith("connection:") && lower.contains("close")) {
        close = true;
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException();
    }
    return new Message(first, new String(body, StandardCharsets.UTF_8), close);
  }

  static byte[] requestBytes(String method, String path, String body) {
    byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + content.length + "\r\n\r\n";
    byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[start.length + content.length];
    System.arraycopy(start, 0, all, 0, start.length);
    System.arraycopy(content, 0, all, start.length, content.length);
    return all;
  }

  /** Serves until closed. */
  static final class Server implements Closeable {
    final int port;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(int port, Handler handler) throws IOException {
      server = listen(port);
      this.port = server.getLocalPort();
      thread(
          "http-" + this.port,
          () -> {
            while (!server.isClosed()) {
              try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread("conn-" + this.port, () -> serve(socket, handler));
              } catch (IOException e) {
                // closed, or this connection failed
              }
            }
          });
    }

    private void serve(Socket socket, Handler handler) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          Message message = read(in);
          String[] parts = message.first.split(" ");
          Reply reply = handler.handle(new Request(parts[0], parts[1], message.body));
          if (reply == null) {
            return;
          }
          byte[] content = reply.body.getBytes(StandardCharsets.UTF_8);
          ByteArrayOutputStream out = new ByteArrayOutputStream();
          out.write(
              ("HTTP/1.1 " + reply.status + " X\r\nContent-Type: application/json\r\n"
                      + "Content-Length: " + content.length + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          out.write(content);
          socket.getOutputStream().write(out.toByteArray());
          if (message.close || reply.close) {
            return;
          }
        }
      } catch (Exception e) {
        // the client has gone, or its request can't be read
      } finally {
        open.remove(socket);
      }
    }

    @Override
    public void close() {
      quietly(server);
      open.forEach(Http::quietly);
    }
  }

  /** A connection of a client, which is opened with the first call and again after a failure. */
  static final class Client {
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(int port) {
      this.port = port;
    }

    /** Returns the reply, or null if there was none within the time. */
    synchronized Reply call(String method, String path, String body, int timeoutMs) {
      long end = System.nanoTime() + timeoutMs * 1_000_000L;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(loopback(port), Math.min(timeoutMs, 1_000));
          in = new BufferedInputStream(socket.getInputStream());
        }
        socket.getOutputStream().write(requestBytes(method, path, body));
        socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
        Message message = read(in);
        if (message.close) {
          close();
        }
        return new Reply(Integer.parseInt(message.first.split(" ")[1]), message.body);
      } catch (IOException e) {
        close();
        return null;
      }
    }

    synchronized void close() {
      quietly(socket);
      socket = null;
    }
  }

  /** Makes one call on a connection of its own. Returns null if there was no reply. */
  static Reply call(int port, String method, String path, String body, int timeoutMs) {
    Client client = new Client(port);
    try {
      return client.call(method, path, body, timeoutMs);
    } finally {
      client.close();
    }
  }
}
