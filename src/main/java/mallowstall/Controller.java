package mallowstall;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mallowstall.cloud.CloudClient;
import mallowstall.config.Settings;
import mallowstall.core.ControllerCore;
import mallowstall.core.placement.Policy;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpServer;
import mallowstall.net.PeriodicTask;
import mallowstall.net.SocketAddresses;
import mallowstall.peers.PeerConnections;
import mallowstall.state.StateServiceClient;
import mallowstall.users.UserApiHandler;
import mallowstall.workers.WorkerHttpAdapter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: the core with its adapters, on one event loop. {@link #start}, {@link #stop} and
 * {@link #address} may be called by any thread; everything else runs on the event loop.
 */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.service");

  /** Count. Connections to the state service besides the watch; requests are not pipelined. */
  private static final int STATE_CONNECTIONS = 6;

  /** Count. Connections of the watch, its own so that it never waits for another request's. */
  private static final int WATCH_CONNECTIONS = 2;

  /** Count. Most connections accepted from peers at a time. */
  private static final int PEER_CONNECTIONS = 16;

  /** Count. Connections to the cloud. */
  private static final int CLOUD_CONNECTIONS = 2;

  /** Count. Sockets that this process may open, if the settings don't limit them. */
  private static final int MAX_CONNECTIONS_DEFAULT = 500;

  /** Fraction of the sockets that users and workers may use. */
  private static final double SERVER_SOCKET_FRACTION = 0.7;

  /** Fraction of the sockets kept open to workers' own addresses. */
  private static final double WORKER_CLIENT_SOCKET_FRACTION = 0.2;

  /** ms. A stopping event loop ends once nothing has come for so long. */
  private static final long STOP_QUIET_MS = 50;

  /** ms. A stopping event loop ends after this in any case. */
  private static final long STOP_TIMEOUT_MS = 500;

  /** ms. Workers needn't wait any longer for what only users' requests still need. */
  private static final long INITIALIZED_LISTEN_DELAY_MAX_MS = 1_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Settings settings;
  private final ControllerCore core;
  private final CoreEvents events;
  private final PeerConnections peers;
  private final HttpServer server;
  private final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
  private long startedNanos;
  private boolean listening;
  private PeriodicTask tick;

  /** Wires the core to its adapters; nothing runs before {@link #start}. */
  public Controller(Settings settings, Policy.PolicyRegistry policies) {
    this.settings = settings;
    // adapters report events to the core, which is made after those that it calls
    Consumer<Runnable> runEvent = this::runEvent;
    InetSocketAddress stateAddress = SocketAddresses.parse(settings.endpoints().state());
    HttpClient stateClient = new HttpClient(loop, stateAddress, STATE_CONNECTIONS);
    HttpClient watchClient = new HttpClient(loop, stateAddress, WATCH_CONNECTIONS);
    HttpClient cloudClient =
        new HttpClient(
            loop, SocketAddresses.parse(settings.endpoints().cloud()), CLOUD_CONNECTIONS);
    ControllerMetrics metrics = new ControllerMetrics();
    AdapterEffects effects =
        new AdapterEffects(
            new StateServiceClient(stateClient, watchClient, runEvent),
            new CloudClient(cloudClient, runEvent),
            metrics);
    this.core =
        new ControllerCore(
            CoreSettingsFactory.create(settings),
            effects,
            policies,
            metrics,
            randomSeed(settings.node()));
    this.events = new CoreEvents(core, loop);
    int sockets = maxConnections(settings.facts().limits());
    this.peers = new PeerConnections(loop, core, runEvent, PEER_CONNECTIONS);
    WorkerHttpAdapter workers =
        new WorkerHttpAdapter(
            core, loop, runEvent, (int) (sockets * WORKER_CLIENT_SOCKET_FRACTION));
    effects.connect(peers, workers);
    RequestRouter router = new RequestRouter(core, new UserApiHandler(core), workers, metrics);
    this.server =
        new HttpServer(
            (request, responder) -> events.run(() -> router.route(request, responder)),
            (int) (sockets * SERVER_SOCKET_FRACTION));
  }

  /** Differs by controller, and stays the same after a restart. */
  private static long randomSeed(String node) {
    return node.hashCode() * 31L + 7;
  }

  private static int maxConnections(Settings.Limits limits) {
    return limits == null || limits.maxConnections() == null
        ? MAX_CONNECTIONS_DEFAULT
        : limits.maxConnections();
  }

  private void runEvent(Runnable event) {
    events.run(event);
  }

  /**
   * Connects to peers and begins to tick. The port for users and workers opens once requests can be
   * taken, or at the latest after {@link Constants#LISTEN_DELAY_MAX_MS}: turning away hundreds of
   * workers one by one takes all the processor time that getting ready needs, and a closed port
   * sends them on as well. Call it once.
   *
   * @throws InterruptedException if interrupted before peers can connect
   */
  public void start() throws InterruptedException {
    startedNanos = System.nanoTime();
    peers.listen(group, SocketAddresses.parse(settings.peerListen()));
    loop.execute(
        () -> {
          if (settings.peers() != null) {
            for (Settings.Peer peer : settings.peers()) {
              peers.connect(peer.node(), SocketAddresses.parse(peer.addr()));
            }
          }
          tick = new PeriodicTask("tick", loop, Constants.TICK_MS, this::tick);
        });
    LOG.info("{} starts", settings.node());
  }

  private void tick() {
    events.run(core::tick);
    if (listening) {
      return;
    }
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    long maxDelayMs =
        core.isInitialized() ? INITIALIZED_LISTEN_DELAY_MAX_MS : Constants.LISTEN_DELAY_MAX_MS;
    if (core.isReady() || waitedMs >= maxDelayMs) {
      listen();
    }
  }

  private void listen() {
    listening = true;
    server
        .listen(group, SocketAddresses.parse(settings.listen()))
        .whenComplete(
            (bound, failure) -> {
              if (failure == null) {
                LOG.info("{} serves on {}", settings.node(), settings.listen());
                address.complete(bound);
              } else {
                address.completeExceptionally(failure);
              }
            });
  }

  /**
   * Where users and workers reach this controller, once it listens; completed exceptionally if it
   * can't.
   */
  public CompletableFuture<InetSocketAddress> address() {
    return address;
  }

  /** Ends the tick, then connections, then the event loop; returns before that is done. */
  public void stop() {
    loop.execute(
        () -> {
          if (tick != null) {
            tick.cancel();
          }
          events.cancelTimer();
          server.close();
          peers.close();
        });
    group.shutdownGracefully(STOP_QUIET_MS, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
