package mallowstall;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mallowstall.cloud.CloudClient;
import mallowstall.config.Settings;
import mallowstall.core.Core;
import mallowstall.core.Effects;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.RentRequest;
import mallowstall.core.Model.Team;
import mallowstall.core.Policy;
import mallowstall.core.ProgramVersion;
import mallowstall.net.HttpClient;
import mallowstall.net.HttpServer;
import mallowstall.net.HttpServer.Request;
import mallowstall.net.HttpServer.Responder;
import mallowstall.net.PeriodicTask;
import mallowstall.net.SocketAddresses;
import mallowstall.peers.PeerConnections;
import mallowstall.state.StateServiceClient;
import mallowstall.users.UserApiHandler;
import mallowstall.workers.WorkerHttpAdapter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: the core with its adapters, on one event loop. */
public final class Service {
  private static final String SUBMISSIONS = "/submissions";
  private static final String CANCEL = "/cancel";
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.service");

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Core core;
  private final StateServiceClient state;
  private final CloudClient cloud;
  private final PeerConnections peers;
  private final UserApiHandler users;
  private final WorkerHttpAdapter workers;
  private final Meters meters = new Meters();
  private final HttpServer server;
  private final Settings settings;
  private final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
  private long startedAt;
  private boolean listens;
  private PeriodicTask ticks;
  private ScheduledFuture<?> wake;
  private long wakeAt = Long.MAX_VALUE;

  /** Wires the core to its adapters; nothing runs before {@link #start}. */
  public Service(Settings settings, Policy.Book policies) {
    this.settings = settings;
    Consumer<Runnable> events = this::event;
    HttpClient stateCalls =
        new HttpClient(
            loop, SocketAddresses.parse(settings.endpoints().state()), Constants.STATE_CONNECTIONS);
    HttpClient watches =
        new HttpClient(loop, SocketAddresses.parse(settings.endpoints().state()), 2);
    HttpClient cloudCalls =
        new HttpClient(loop, SocketAddresses.parse(settings.endpoints().cloud()), 2);
    this.state = new StateServiceClient(stateCalls, watches, events);
    this.cloud = new CloudClient(cloudCalls, events);
    this.core =
        new Core(
            coreSettings(settings),
            new World(),
            policies,
            meters,
            settings.node().hashCode() * 31L + 7);
    int sockets =
        settings.facts().limits() == null || settings.facts().limits().maxConnections() == null
            ? 500
            : settings.facts().limits().maxConnections();
    this.peers = new PeerConnections(loop, core, events, 16);
    this.users = new UserApiHandler(core);
    this.workers =
        new WorkerHttpAdapter(core, loop, events, (int) (sockets * Constants.ORDER_SOCKET_SHARE));
    this.server = new HttpServer(this::handle, (int) (sockets * Constants.SOCKET_SHARE));
  }

  static CoreSettings coreSettings(Settings settings) {
    List<String> others = new ArrayList<>();
    Map<String, String> zones = new HashMap<>();
    zones.put(settings.node(), settings.zone() == null ? "" : settings.zone());
    if (settings.peers() != null) {
      for (Settings.Peer peer : settings.peers()) {
        others.add(peer.node());
        zones.put(peer.node(), peer.zone() == null ? "" : peer.zone());
      }
    }
    Map<String, Team> teams = new HashMap<>();
    for (Settings.Team team : settings.facts().teams()) {
      teams.put(
          team.name(),
          new Team(team.name(), team.cpus(), team.cpusMax(), team.gpus(), team.gpusMax()));
    }
    Map<String, Double> late = new HashMap<>();
    if (settings.facts().objectives() != null) {
      for (Settings.Objective o : settings.facts().objectives()) {
        if ("deadline".equals(o.kind()) && o.jobClass() != null && o.times() != null) {
          late.merge(o.jobClass(), o.times(), Math::max);
        }
      }
    }
    Settings.Facts facts = settings.facts();
    // when the limits fall isn't known: the lower ones are kept from the start
    Settings.State state = facts.state().lowest();
    return new CoreSettings(
        settings.node(),
        others,
        zones,
        teams,
        (long) (facts.workers().reportS() * 1000),
        (long) (facts.workers().leaseS() * 1000),
        (long) (facts.workers().cancelS() * 1000),
        (long) Math.ceil(facts.skewMs()),
        state.rps(),
        state.writeRps(),
        state.txnOps(),
        (int) (state.valueKb() * 1024),
        facts.cloud().rps(),
        (long) (facts.cloud().listLagS() * 1000),
        late,
        ProgramVersion.CURRENT);
  }

  /**
   * Connects and begins the regular duties. Users and workers are listened to once requests can be
   * taken, or at the latest after a while: refusing hundreds of workers one by one takes all the
   * processor time that getting ready needs, and a closed port sends them on as well.
   */
  public void start() throws InterruptedException {
    startedAt = System.nanoTime();
    peers.listen(group, SocketAddresses.parse(settings.peerListen()));
    loop.execute(
        () -> {
          if (settings.peers() != null) {
            for (Settings.Peer peer : settings.peers()) {
              peers.connect(peer.node(), SocketAddresses.parse(peer.addr()));
            }
          }
          ticks = new PeriodicTask("tick", loop, Constants.TICK_MS, this::tick);
        });
    LOG.info("{} starts", settings.node());
  }

  private void tick() {
    event(core::tick);
    if (listens) {
      return;
    }
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    if (core.ready() || waitedMs >= Constants.LISTEN_LATEST_MS) {
      listen();
    }
  }

  private void listen() {
    listens = true;
    server
        .listen(group, SocketAddresses.parse(settings.listen()))
        .whenComplete(
            (at, failure) -> {
              if (failure == null) {
                LOG.info("{} serves on {}", settings.node(), settings.listen());
                address.complete(at);
              } else {
                address.completeExceptionally(failure);
              }
            });
  }

  /** Where users and workers reach this controller, once they do, or why they can't. */
  public CompletableFuture<InetSocketAddress> address() {
    return address;
  }

  /** Ends duties, then connections, then the loop. */
  public void stop() {
    loop.execute(
        () -> {
          if (ticks != null) {
            ticks.cancel();
          }
          if (wake != null) {
            wake.cancel(false);
          }
          server.close();
          peers.close();
        });
    group.shutdownGracefully(50, 500, TimeUnit.MILLISECONDS);
  }

  /** Runs one event of the core with the time set, then whatever became due. */
  private void event(Runnable action) {
    core.time(System.nanoTime() / 1_000_000, System.currentTimeMillis());
    try {
      action.run();
      core.settle();
    } catch (RuntimeException failure) {
      LOG.error("an event failed", failure);
    }
    long next = core.nextTimer();
    if (next < wakeAt) {
      if (wake != null) {
        wake.cancel(false);
      }
      wakeAt = next;
      wake =
          loop.schedule(
              () -> {
                wakeAt = Long.MAX_VALUE;
                event(() -> {});
              },
              Math.max(1, next - System.nanoTime() / 1_000_000),
              TimeUnit.MILLISECONDS);
    }
  }

  // ---- routes -------------------------------------------------------------------------------
  private void handle(Request request, Responder responder) {
    event(() -> route(request, responder));
  }

  private void route(Request request, Responder responder) {
    String path = request.path();
    int query = path.indexOf('?');
    if (query >= 0) {
      path = path.substring(0, query);
    }
    try {
      switch (path) {
        case "/hello" -> hello(request, responder);
        case "/ready" -> ready(request, responder);
        case "/metrics" -> metrics(request, responder);
        case SUBMISSIONS -> submit(request, responder);
        default -> {
          if (path.startsWith(SUBMISSIONS + "/")) {
            submission(path.substring(SUBMISSIONS.length() + 1), request, responder);
          } else {
            error(responder, 404, "no such path");
          }
        }
      }
    } catch (RuntimeException failure) {
      LOG.error("a request failed: {} {}", request.method(), path, failure);
      error(responder, 500, "internal error");
    }
  }

  private void hello(Request request, Responder responder) {
    if (!method(request, responder, "POST")) {
      return;
    }
    try {
      workers.report(request, responder);
    } catch (IOException failure) {
      LOG.info("a report is refused: {}", failure.getMessage());
      error(responder, 400, "not a valid report");
    }
  }

  private void ready(Request request, Responder responder) {
    if (!method(request, responder, "GET")) {
      return;
    }
    boolean ready = core.ready();
    byte[] body = ("{\"ready\":" + ready + "}").getBytes(StandardCharsets.UTF_8);
    responder.answer(ready ? 200 : 503, body, ready ? 0 : 1);
  }

  private void metrics(Request request, Responder responder) {
    if (method(request, responder, "GET")) {
      responder.answer(200, meters.text().getBytes(StandardCharsets.UTF_8), 0);
    }
  }

  private void submit(Request request, Responder responder) {
    if (!method(request, responder, "POST")) {
      return;
    }
    long startedAt = System.nanoTime();
    users.submit(
        request,
        (status, json, retry) -> {
          meters.timeNanos("submit", System.nanoTime() - startedAt);
          responder.answer(status, json, retry);
        });
  }

  /** What is asked of one job; {@code rest} is the path after that of all jobs. */
  private void submission(String rest, Request request, Responder responder) {
    boolean cancels = rest.endsWith(CANCEL);
    String id = cancels ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
    if (id.indexOf('/') >= 0) {
      error(responder, 404, "no such path");
    } else if (cancels) {
      if (method(request, responder, "POST")) {
        users.cancel(id, responder);
      }
    } else if (method(request, responder, "GET")) {
      users.query(id, responder);
    }
  }

  private static boolean method(Request request, Responder responder, String wanted) {
    if (request.method().equals(wanted)) {
      return true;
    }
    error(responder, 405, "the method must be " + wanted);
    return false;
  }

  private static void error(Responder responder, int status, String message) {
    responder.answer(
        status, ("{\"error\":\"" + message + "\"}").getBytes(StandardCharsets.UTF_8), 0);
  }

  /** The core's effects, each through its adapter. */
  private final class World implements Effects {
    @Override
    public void transact(Txn txn, Consumer<TxnReply> then) {
      long t0 = System.nanoTime();
      state.transact(
          txn,
          reply -> {
            meters.timeNanos("state_write", System.nanoTime() - t0);
            then.accept(reply);
          });
    }

    @Override
    public int encodedSize(Entry value) {
      return state.encodedSize(value);
    }

    @Override
    public void get(String key, Consumer<GetReply> then) {
      state.get(key, then);
    }

    @Override
    public void list(String after, Consumer<ListReply> then) {
      state.list(after, then);
    }

    @Override
    public void watch(long after, long holdMs, Consumer<WatchReply> then) {
      state.watch(after, holdMs, then);
    }

    @Override
    public void grantLease(long ttlMs, Consumer<LeaseReply> then) {
      state.grantLease(ttlMs, then);
    }

    @Override
    public void renewLease(long lease, Consumer<LeaseReply> then) {
      state.renewLease(lease, then);
    }

    @Override
    public void send(String node, PeerMessage message) {
      peers.send(node, message);
    }

    @Override
    public void order(
        String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then) {
      workers.order(addr, token, session, commands, then);
    }

    @Override
    public void types(Consumer<List<MachineType>> then) {
      cloud.types(then);
    }

    @Override
    public void rent(RentRequest request, Consumer<RentReply> then) {
      long t0 = System.nanoTime();
      cloud.rent(
          request,
          r -> {
            meters.timeNanos("cloud_rent", System.nanoTime() - t0);
            then.accept(r);
          });
    }

    @Override
    public void returnMachines(List<String> machines, Consumer<Boolean> then) {
      cloud.returnMachines(machines, then);
    }

    @Override
    public void listMachines(String after, Consumer<ListedReply> then) {
      cloud.listMachines(after, then);
    }
  }
}
