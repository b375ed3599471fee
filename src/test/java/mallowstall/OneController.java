package mallowstall;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import mallowstall.core.Core;
import mallowstall.core.Effects;
import mallowstall.core.Metrics;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Entry;
import mallowstall.core.Model.MachineType;
import mallowstall.core.Model.PeerMessage;
import mallowstall.core.Model.RentRequest;
import mallowstall.core.Model.Team;
import mallowstall.core.ProgramVersion;
import mallowstall.policy.Policies;
import mallowstall.state.StoredEntries;

/** One core over a state service and a cloud in memory, in its own time: all of it repeatable. */
public final class OneController implements Effects {
  private static final long BEGIN_WALL_MS = 1_700_000_000_000L;
  private static final long STEP_MS = 10;

  /** A watch that waits for news. */
  private record Watch(long after, Consumer<WatchReply> then) {}

  private final Core core;
  private final Map<String, Item> keys = new TreeMap<>();
  private final List<Item> changes = new ArrayList<>();
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private final List<MachineType> types;
  private Watch watch;
  private long revision;
  private long leases;
  private long now = 1_000;
  private boolean stateServiceAnswers = true;

  /** A controller n1 that may have peers, and these machine types to rent. */
  public OneController(List<String> peers, List<MachineType> types) {
    this.types = types;
    CoreSettings settings =
        new CoreSettings(
            "n1",
            peers,
            Map.of(),
            Map.of("vision", new Team("vision", 0, 40, 0, 4)),
            1_000,
            10_000,
            35_000,
            25,
            1_000,
            500,
            24,
            16_384,
            0.01,
            10_000,
            Map.of(),
            ProgramVersion.CURRENT);
    core = new Core(settings, this, Policies.bundled(), new Uncounted(), 7);
  }

  /** Counts nothing. */
  private static final class Uncounted implements Metrics {
    @Override
    public void count(String what) {}

    @Override
    public void time(String what, long ms) {}
  }

  /** The core, to give events to. */
  public Core core() {
    return core;
  }

  /** An entry that another controller has written. */
  public void put(String key, Entry value) {
    revision++;
    set(key, value);
  }

  /** Whether requests to the state service are answered from now on. */
  public void stateServiceAnswers(boolean answers) {
    stateServiceAnswers = answers;
  }

  /** Lets so much time pass. */
  public void pass(long ms) {
    for (long end = now + ms; now < end; now += STEP_MS) {
      core.time(now, BEGIN_WALL_MS + now);
      for (Runnable event = events.poll(); event != null; event = events.poll()) {
        event.run();
        core.settle();
      }
      core.tick();
      core.settle();
    }
  }

  private void set(String key, Entry value) {
    Item item = new Item(key, value, revision);
    if (value == null) {
      keys.remove(key);
    } else {
      keys.put(key, item);
    }
    changes.add(item);
    tellWatch();
  }

  private void tellWatch() {
    if (watch == null || revision <= watch.after) {
      return;
    }
    Watch told = watch;
    watch = null;
    events.add(
        () ->
            told.then.accept(
                new WatchReply(
                    Code.OK,
                    changes.stream().filter(item -> item.version() > told.after).toList(),
                    revision)));
  }

  @Override
  public void transact(Txn txn, Consumer<TxnReply> then) {
    TxnReply reply = stateServiceAnswers ? change(txn) : new TxnReply(Code.REFUSED, 0);
    events.add(() -> then.accept(reply));
  }

  private TxnReply change(Txn txn) {
    for (Cond condition : txn.when()) {
      Item item = keys.get(condition.key());
      if ((item == null ? 0 : item.version()) != condition.version()) {
        return new TxnReply(Code.CONFLICT, revision);
      }
    }
    revision++;
    txn.puts().forEach(put -> set(put.key(), put.value()));
    txn.drops().forEach(key -> set(key, null));
    return new TxnReply(Code.OK, revision);
  }

  @Override
  public int encodedSize(Entry value) {
    return StoredEntries.encode(value).length;
  }

  @Override
  public void get(String key, Consumer<GetReply> then) {
    GetReply reply =
        stateServiceAnswers
            ? new GetReply(Code.OK, keys.getOrDefault(key, new Item(key, null, 0)))
            : new GetReply(Code.REFUSED, null);
    events.add(() -> then.accept(reply));
  }

  @Override
  public void list(String after, Consumer<ListReply> then) {
    ListReply reply =
        stateServiceAnswers
            ? new ListReply(Code.OK, List.copyOf(keys.values()), false, revision)
            : new ListReply(Code.REFUSED, List.of(), false, 0);
    events.add(() -> then.accept(reply));
  }

  @Override
  public void watch(long after, long holdMs, Consumer<WatchReply> then) {
    watch = new Watch(after, then);
    tellWatch();
  }

  @Override
  public void grantLease(long ttlMs, Consumer<LeaseReply> then) {
    leases++;
    LeaseReply reply = lease(leases);
    events.add(() -> then.accept(reply));
  }

  @Override
  public void renewLease(long lease, Consumer<LeaseReply> then) {
    LeaseReply reply = lease(lease);
    events.add(() -> then.accept(reply));
  }

  private LeaseReply lease(long lease) {
    return new LeaseReply(stateServiceAnswers ? Code.OK : Code.REFUSED, lease);
  }

  @Override
  public void send(String node, PeerMessage message) {}

  @Override
  public void order(
      String addr, long token, long session, List<Command> commands, Consumer<OrderReply> then) {
    events.add(() -> then.accept(new OrderReply(Code.REFUSED, null)));
  }

  @Override
  public void types(Consumer<List<MachineType>> then) {
    events.add(() -> then.accept(types));
  }

  @Override
  public void rent(RentRequest request, Consumer<RentReply> then) {
    events.add(() -> then.accept(new RentReply(503, List.of())));
  }

  @Override
  public void returnMachines(List<String> machines, Consumer<Boolean> then) {
    events.add(() -> then.accept(false));
  }

  @Override
  public void listMachines(String after, Consumer<ListedReply> then) {
    events.add(() -> then.accept(new ListedReply(false, List.of(), false)));
  }
}
