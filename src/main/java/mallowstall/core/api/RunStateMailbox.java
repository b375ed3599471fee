package mallowstall.core.api;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.RequestPriority;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunStateAnswer;
import mallowstall.core.model.RunStateExchangeEntry;
import mallowstall.core.model.RunStateQuery;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.RunStateReply;
import mallowstall.core.model.StoredEntry;

/**
 * Exchanges questions and answers about running tasks through the state service. Each controller
 * writes its own entry, which holds its recent queries and replies. Nothing is written unless there
 * is a new message. Mutable; confined to the event loop.
 */
public final class RunStateMailbox {
  /** Time in milliseconds for which messages are collected into a write. */
  private static final long BATCH_WINDOW_MS = 10;

  /** Minimum time in milliseconds between two writes of this controller. */
  private static final long WRITE_INTERVAL_MIN_MS = 150;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final Metrics metrics;
  private final StateStore store;

  /** Receives queries of other controllers. */
  private Consumer<RunStateQuery> queryReceiver = query -> {};

  /** Questions that are not part of a query yet, with the callbacks of each by node. */
  private final Map<RunStateQuestion, Map<String, Consumer<RunObservation>>> unsent =
      new HashMap<>();

  private final Deque<SentQuery> sentQueries = new ArrayDeque<>();
  private final Deque<SentReply> sentReplies = new ArrayDeque<>();

  /** The last query that was passed to the receiver, by the controller that sent it. */
  private final Map<String, RunStateQuery> lastQueries = new HashMap<>();

  private long lastSerial;
  private long lastWriteMs = Long.MIN_VALUE / 2;
  private boolean writeScheduled;

  /** A query that was written, with the callbacks of its questions by job and node. */
  private record SentQuery(
      RunStateQuery query,
      Map<String, Map<String, Consumer<RunObservation>>> callbacks,
      long sentMs) {}

  /** A reply that was or will be written. */
  private record SentReply(RunStateReply reply, long sentMs) {}

  /** Creates a mailbox that writes nothing before the first message. */
  public RunStateMailbox(
      EventClock clock, CoreSettings settings, Effects effects, Metrics metrics, StateStore store) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.metrics = metrics;
    this.store = store;
  }

  /** Sets the receiver of other controllers' queries. Called once, before the first event. */
  void subscribe(Consumer<RunStateQuery> receiver) {
    queryReceiver = receiver;
  }

  /** Asks a controller. The callback is called at most once, when the controller has answered. */
  void ask(String node, RunStateQuestion question, Consumer<RunObservation> callback) {
    unsent
        .computeIfAbsent(question, key -> new HashMap<>())
        .merge(node, callback, Consumer::andThen);
    scheduleWrite();
  }

  /** Sends a reply to the controller that wrote the query. */
  void reply(RunStateReply reply) {
    sentReplies.add(new SentReply(reply, clock.now()));
    scheduleWrite();
  }

  private void scheduleWrite() {
    if (writeScheduled) {
      return;
    }
    writeScheduled = true;
    long delayMs = lastWriteMs + WRITE_INTERVAL_MIN_MS - clock.now();
    clock.schedule(Math.max(BATCH_WINDOW_MS, delayMs), this::write);
  }

  private void write() {
    writeScheduled = false;
    dropOldMessages();
    addQuery();
    if (!store.isSessionValid() || (sentQueries.isEmpty() && sentReplies.isEmpty())) {
      return;
    }
    lastWriteMs = clock.now();
    metrics.increment("run_state_writes");
    String key = StateKeys.runStateExchange(settings.node());
    store.transact(
        RequestPriority.JOB,
        new Transaction(
            List.of(), List.of(new PutOperation(key, fittingEntry(), store.leaseId())), List.of()),
        result -> {});
    if (!unsent.isEmpty()) {
      scheduleWrite();
    }
  }

  /** Makes a query of the unsent questions, at most one about each job. */
  private void addQuery() {
    unsent.values().removeIf(Map::isEmpty);
    if (unsent.isEmpty()) {
      return;
    }
    List<RunStateQuestion> questions = new ArrayList<>();
    Map<String, Map<String, Consumer<RunObservation>>> callbacks = new HashMap<>();
    unsent
        .entrySet()
        .removeIf(
            entry -> {
              boolean added = callbacks.putIfAbsent(entry.getKey().job(), entry.getValue()) == null;
              if (added) {
                questions.add(entry.getKey());
              }
              return added;
            });
    RunStateQuery query =
        new RunStateQuery(settings.node(), store.incarnation(), ++lastSerial, questions);
    sentQueries.add(new SentQuery(query, callbacks, clock.now()));
  }

  private void dropOldMessages() {
    long oldestMs = clock.now() - RunStateTimes.ANSWER_TIMEOUT_MS;
    sentQueries.removeIf(sent -> sent.sentMs < oldestMs);
    sentReplies.removeIf(sent -> sent.sentMs < oldestMs);
  }

  /**
   * Returns an entry of the recent messages without the oldest ones that don't fit into a value.
   */
  private RunStateExchangeEntry fittingEntry() {
    while (true) {
      RunStateExchangeEntry entry =
          new RunStateExchangeEntry(
              sentQueries.stream().map(SentQuery::query).toList(),
              sentReplies.stream().map(SentReply::reply).toList());
      boolean isEmpty = sentQueries.isEmpty() && sentReplies.isEmpty();
      if (isEmpty || effects.encodedSizeBytes(entry) <= settings.maxValueBytes()) {
        return entry;
      }
      if (sentQueries.size() >= sentReplies.size()) {
        sentQueries.removeFirst();
      } else {
        sentReplies.removeFirst();
      }
    }
  }

  /** Called when a controller's entry has changed; {@code after} is null if it was deleted. */
  public void entryChanged(String key, StoredEntry before, StoredEntry after) {
    if (!(after instanceof RunStateExchangeEntry entry)
        || key.equals(StateKeys.runStateExchange(settings.node()))) {
      return;
    }
    for (RunStateQuery query : entry.queries()) {
      if (isNew(query)) {
        lastQueries.put(query.node(), query);
        queryReceiver.accept(query);
      }
    }
    entry.replies().forEach(this::receive);
  }

  private boolean isNew(RunStateQuery query) {
    RunStateQuery last = lastQueries.get(query.node());
    return last == null
        || query.incarnation() > last.incarnation()
        || (query.incarnation() == last.incarnation() && query.serial() > last.serial());
  }

  private void receive(RunStateReply reply) {
    if (!reply.asker().equals(settings.node()) || reply.incarnation() != store.incarnation()) {
      return;
    }
    for (SentQuery sent : List.copyOf(sentQueries)) {
      if (sent.query.serial() == reply.serial()) {
        reply.answers().forEach(answer -> receive(sent, reply.node(), answer));
      }
    }
  }

  private void receive(SentQuery sent, String node, RunStateAnswer answer) {
    Map<String, Consumer<RunObservation>> byNode =
        sent.callbacks.getOrDefault(answer.job(), Map.of());
    Consumer<RunObservation> callback = byNode.isEmpty() ? null : byNode.remove(node);
    if (callback != null) {
      callback.accept(RunStateExchange.observation(answer, sent.sentMs, clock.now()));
    }
  }
}
