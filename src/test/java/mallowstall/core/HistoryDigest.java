package mallowstall.core;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.kernel.CommandResult;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.GetResult;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.LeaseResult;
import mallowstall.core.kernel.ListResult;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kernel.TransactionResult;
import mallowstall.core.kernel.WatchResult;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ScaleOutRequest;
import mallowstall.core.model.StoredEntry;
import mallowstall.core.model.WorkerCommand;
import mallowstall.peers.PeerCodec;
import mallowstall.state.StoredEntries;

/**
 * The SHA-256 digest of everything that leaves the cores in a simulated history, in order of
 * simulated time: all calls to the state service, workers and the cloud, all messages to peers, and
 * all answers to users and to workers' heartbeats. Two programs with equal digests behave
 * identically in these histories.
 *
 * <p>Each call or answer is one line: the simulated time in milliseconds, the controller, a fixed
 * label, and the fields, separated by tabs. Values of the state service are written as the bytes
 * that the state service receives, and messages between controllers as the bytes of {@link
 * PeerCodec} in hexadecimal. All else is written field by field, enum constants by their ordinals.
 * A line contains no name of a Java type, field or constant, so that renaming or moving these
 * changes no digest.
 *
 * <p>One instance records one history. Each line goes into the digest at once, and is not stored
 * unless a file is given.
 */
final class HistoryDigest implements Recorder, AutoCloseable {
  private static final String ABSENT = "(none)";

  private final MessageDigest sha256;
  private final Writer dump;
  private final StringBuilder line = new StringBuilder();
  private long lines;

  /** Also writes the lines to the file, unless it is null. */
  private HistoryDigest(Path file) throws IOException {
    try {
      sha256 = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
    dump = file == null ? null : Files.newBufferedWriter(file);
  }

  /**
   * Runs a history and returns its digest.
   *
   * @param history its kind and seed, such as {@code plain 20000} or {@code upgrade 20100}
   * @param dumpTo the directory of the file for the recorded lines, or null to write no file
   */
  static String of(String history, Path dumpTo) throws IOException {
    String[] parts = history.split(" ");
    long seed = Long.parseLong(parts[1]);
    Path file = dumpTo == null ? null : dumpTo.resolve(parts[0] + "-" + seed + ".txt");
    try (HistoryDigest digest = new HistoryDigest(file)) {
      switch (parts[0]) {
        case "plain" -> RandomizedSimulationTest.runCombinedFaults(seed, digest);
        case "upgrade" -> RandomizedUpgradeTest.runHistory(seed, digest);
        default -> throw new IllegalArgumentException("unknown kind of history: " + history);
      }
      if (digest.lines == 0) {
        throw new IllegalStateException("nothing was recorded of " + history);
      }
      return HexFormat.of().formatHex(digest.sha256.digest());
    }
  }

  @Override
  public void close() throws IOException {
    if (dump != null) {
      dump.close();
    }
  }

  @Override
  public Effects effects(SimulatedController node, Effects delegate) {
    return new RecordedEffects(node, delegate);
  }

  @Override
  public Consumer<ApiResponse> toUser(
      SimulatedController node, String job, Consumer<ApiResponse> user) {
    return answer -> {
      begin(node, "user").field(job).field(answer.status()).field(answer.id());
      field(answer.state()).field(answer.completedTaskCount()).field(answer.runningTaskCount());
      field(answer.message()).field(answer.retryAfterS()).end();
      user.accept(answer);
    };
  }

  @Override
  public Consumer<HeartbeatResponse> toWorker(
      SimulatedController node, Heartbeat heartbeat, Consumer<HeartbeatResponse> worker) {
    return answer -> {
      begin(node, "worker")
          .field(heartbeat.machine())
          .field(heartbeat.session())
          .field(heartbeat.sequence());
      field(answer.status()).field(answer.fencingToken()).field(answer.redirectTo());
      commands(answer.commands()).end();
      worker.accept(answer);
    };
  }

  private HistoryDigest begin(SimulatedController node, String label) {
    line.setLength(0);
    line.append(node.now());
    return field(node.name).field(label);
  }

  private HistoryDigest field(String text) {
    line.append('\t').append(text == null ? ABSENT : text);
    return this;
  }

  private HistoryDigest field(long number) {
    line.append('\t').append(number);
    return this;
  }

  private HistoryDigest field(double number) {
    line.append('\t').append(number);
    return this;
  }

  private HistoryDigest field(boolean flag) {
    return field(flag ? 1 : 0);
  }

  private HistoryDigest commands(List<WorkerCommand> commands) {
    field(commands.size());
    for (WorkerCommand command : commands) {
      field(command.kind().ordinal()).field(command.job()).field(command.task());
      field(command.attempt()).field(command.gracePeriodS());
    }
    return this;
  }

  private void end() {
    line.append('\n');
    String text = line.toString();
    sha256.update(text.getBytes(StandardCharsets.UTF_8));
    lines++;
    if (dump == null) {
      return;
    }
    try {
      dump.write(text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Records the calls of a core and passes them on to the delegate. */
  private final class RecordedEffects implements Effects {
    private final SimulatedController node;
    private final Effects delegate;

    RecordedEffects(SimulatedController node, Effects delegate) {
      this.node = node;
      this.delegate = delegate;
    }

    @Override
    public void transact(Transaction txn, Consumer<TransactionResult> then) {
      begin(node, "transaction").field(txn.conditions().size());
      for (Condition condition : txn.conditions()) {
        field(condition.key()).field(condition.modRevision());
      }
      field(txn.puts().size());
      for (PutOperation put : txn.puts()) {
        byte[] value = StoredEntries.encode(put.value());
        field(put.key()).field(put.leaseId()).field(new String(value, StandardCharsets.UTF_8));
      }
      field(txn.deletes().size());
      txn.deletes().forEach(HistoryDigest.this::field);
      end();
      delegate.transact(txn, then);
    }

    /** Records nothing, because a core only measures the value and nothing leaves the core. */
    @Override
    public int encodedSizeBytes(StoredEntry value) {
      return delegate.encodedSizeBytes(value);
    }

    @Override
    public void get(String key, Consumer<GetResult> then) {
      begin(node, "read").field(key).end();
      delegate.get(key, then);
    }

    @Override
    public void list(String after, Consumer<ListResult> then) {
      begin(node, "list").field(after).end();
      delegate.list(after, then);
    }

    @Override
    public void watch(long after, long holdMs, Consumer<WatchResult> then) {
      begin(node, "watch").field(after).field(holdMs).end();
      delegate.watch(after, holdMs, then);
    }

    @Override
    public void grantLease(long ttlMs, Consumer<LeaseResult> then) {
      begin(node, "lease").field(ttlMs).end();
      delegate.grantLease(ttlMs, then);
    }

    @Override
    public void renewLease(long lease, Consumer<LeaseResult> then) {
      begin(node, "renewal").field(lease).end();
      delegate.renewLease(lease, then);
    }

    @Override
    public void send(String peer, PeerMessage message) {
      begin(node, "message").field(peer);
      field(HexFormat.of().formatHex(PeerCodec.encode(message))).end();
      delegate.send(peer, message);
    }

    @Override
    public void sendCommands(
        String addr,
        long token,
        long session,
        List<WorkerCommand> commands,
        Consumer<CommandResult> then) {
      begin(node, "order").field(addr).field(token).field(session);
      commands(commands).end();
      delegate.sendCommands(addr, token, session, commands, then);
    }

    @Override
    public void fetchMachineTypes(Consumer<List<MachineType>> then) {
      begin(node, "types").end();
      delegate.fetchMachineTypes(then);
    }

    @Override
    public void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> then) {
      begin(node, "rental").field(request.name()).field(request.type()).field(request.zone());
      field(request.spot()).field(request.count()).end();
      delegate.scaleOut(request, then);
    }

    @Override
    public void scaleIn(List<String> machines, Consumer<Boolean> then) {
      begin(node, "return").field(machines.size());
      machines.forEach(HistoryDigest.this::field);
      end();
      delegate.scaleIn(machines, then);
    }

    @Override
    public void listMachines(String after, Consumer<InventoryPage> then) {
      begin(node, "machines").field(after).end();
      delegate.listMachines(after, then);
    }
  }
}
