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
 * One controller: the core and its adapters on one event loop. The methods {@link #start}, {@link
 * #stop} and {@link #address} may be called by any thread; all other code runs on the event loop.
 */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.service");

  /**
   * Maximum number of connections to the state service besides those of the watch. Requests are not
   * pipelined.
   */
  private static final int STATE_CONNECTIONS = 6;

  /**
   * Maximum number of connections for the watch. They are separate so that the watch never waits
   * for the connection of another request.
   */
  private static final int WATCH_CONNECTIONS = 2;

  /** Maximum number of connections accepted from peers at a time. */
  private static final int PEER_CONNECTIONS = 16;

  /** Maximum number of connections to the cloud. */
  private static final int CLOUD_CONNECTIONS = 2;

  /** Maximum number of sockets that this process opens if the settings set no limit. */
  private static final int MAX_CONNECTIONS_DEFAULT = 500;

  /** Fraction of the sockets that are available to users and workers. */
  private static final double SERVER_SOCKET_FRACTION = 0.7;

  /** Fraction of the sockets that are available for connections to workers' own addresses. */
  private static final double WORKER_CLIENT_SOCKET_FRACTION = 0.2;

  /** Time in milliseconds without new work after which a stopping event loop ends. */
  private static final long STOP_QUIET_MS = 50;

  /** Time in milliseconds after which a stopping event loop ends in any case. */
  private static final long STOP_TIMEOUT_MS = 500;

  /**
   * Time in milliseconds after the start from which an initialized controller listens even if it
   * can't serve users' requests yet. The leases of its former processes must end before it serves
   * users, but not before it serves workers.
   */
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

  /** Connects the core with its adapters. Nothing runs before {@link #start}. */
  public Controller(Settings settings, Policy.PolicyRegistry policies) {
    this.settings = settings;
    // The adapters report events to the core, which is created after the adapters that it calls.
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
    UserApiHandler users = new UserApiHandler(core, runEvent);
    RequestRouter router = new RequestRouter(core, users, workers, metrics);
    this.server =
        new HttpServer(
            (request, responder) -> events.run(() -> router.route(request, responder)),
            (int) (sockets * SERVER_SOCKET_FRACTION));
  }

  /** Returns a seed that differs between controllers and stays unchanged after a restart. */
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
   * Connects to the peers and starts the periodic tick. The port for users and workers opens once
   * users' requests can be served. It opens earlier if the controller is initialized 1 s after the
   * start or later, and at the latest after {@link Constants#LISTEN_DELAY_MAX_MS}. Until then the
   * port stays closed, because rejecting hundreds of workers one by one would take all the
   * processor time that the controller needs to become ready, and a closed port makes workers try
   * another controller as well. This method must be called only once.
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
   * Returns the address at which users and workers reach this controller. The future completes once
   * the controller listens, or exceptionally if it can't listen.
   */
  public CompletableFuture<InetSocketAddress> address() {
    return address;
  }

  /**
   * Stops the tick, stops listening to users, workers and peers, and closes the connections to the
   * peers. Then shuts down the event loop, which closes the remaining connections. Returns before
   * all of this has ended.
   */
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
