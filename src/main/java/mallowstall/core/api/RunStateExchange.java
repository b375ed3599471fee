package mallowstall.core.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.core.cluster.ClusterVersion;
import mallowstall.core.cluster.Connectivity;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.kernel.Metrics;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunState;
import mallowstall.core.model.RunStateAnswer;
import mallowstall.core.model.RunStateQuery;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.RunStateReply;
import mallowstall.core.model.UnknownCause;

/**
 * Sends questions about running tasks to other controllers and receives the answers. A question to
 * a peer that can't be reached directly goes through the state service, which both sides reach when
 * they can't reach each other. Questions that arise at about the same time share a query. An answer
 * is dated from when its query was sent, so a delayed one is never taken for a new one. Mutable;
 * confined to the event loop.
 */
public final class RunStateExchange {
  /** Time in milliseconds for which questions to one peer are collected into a query. */
  private static final long BATCH_WINDOW_MS = 5;

  /** Maximum number of questions that wait for an answer. */
  private static final int QUESTIONS_MAX = 2_000;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final Metrics metrics;
  private final StateStore store;
  private final ClusterVersion clusterVersion;
  private final Connectivity connectivity;
  private final RunStateMailbox mailbox;

  /** Questions that are not part of a query yet, by peer. */
  private final Map<String, List<PendingQuestion>> unsent = new HashMap<>();

  /** Unanswered questions of queries to peers, by the serial of the query and the job. */
  private final Map<Long, Map<String, PendingQuestion>> unanswered = new LinkedHashMap<>();

  private long lastSerial;
  private int pendingQuestions;

  /** A question to one controller. Its callback is called exactly once. */
  private final class PendingQuestion {
    private final String node;
    private final RunStateQuestion question;
    private Consumer<RunObservation> callback;
    private long sentMs;

    PendingQuestion(String node, RunStateQuestion question, Consumer<RunObservation> callback) {
      this.node = node;
      this.question = question;
      this.callback = callback;
      pendingQuestions++;
    }

    void answer(RunObservation observation) {
      if (callback == null) {
        return;
      }
      Consumer<RunObservation> answered = callback;
      callback = null;
      pendingQuestions--;
      answered.accept(observation);
    }
  }

  /** Creates an exchange that sends nothing before the first question. */
  public RunStateExchange(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      Metrics metrics,
      StateStore store,
      ClusterVersion clusterVersion,
      Connectivity connectivity,
      RunStateMailbox mailbox) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.metrics = metrics;
    this.store = store;
    this.clusterVersion = clusterVersion;
    this.connectivity = connectivity;
    this.mailbox = mailbox;
  }

  /** Returns whether the peer is likely to answer a question that is sent to it directly. */
  boolean reachesDirectly(String node) {
    return clusterVersion.supportsRunStateQueries(node) && connectivity.exchangesMessagesWith(node);
  }

  /**
   * Asks another controller. The callback is called exactly once, with an unknown observation if
   * the controller doesn't know or doesn't answer in time.
   */
  void ask(String node, RunStateQuestion question, Consumer<RunObservation> callback) {
    boolean direct = reachesDirectly(node);
    boolean hasSession = store.entry(StateKeys.session(node)) != null;
    if (!(direct || hasSession) || pendingQuestions >= QUESTIONS_MAX) {
      UnknownCause cause =
          direct || hasSession ? UnknownCause.QUESTION_LIMIT : UnknownCause.PEER_UNREACHABLE;
      callback.accept(RunObservation.unknown(cause));
      return;
    }
    PendingQuestion pending = new PendingQuestion(node, question, callback);
    clock.schedule(
        RunStateTimes.ANSWER_TIMEOUT_MS,
        () -> pending.answer(RunObservation.unknown(UnknownCause.NO_ANSWER_IN_TIME)));
    if (direct) {
      enqueue(pending);
    } else {
      mailbox.ask(node, question, pending::answer);
    }
  }

  private void enqueue(PendingQuestion pending) {
    List<PendingQuestion> waiting = unsent.get(pending.node);
    if (waiting == null) {
      waiting = new ArrayList<>();
      unsent.put(pending.node, waiting);
      clock.schedule(BATCH_WINDOW_MS, () -> sendQueries(pending.node));
    }
    waiting.add(pending);
  }

  /** Sends the questions to the peer, at most one about each job in a query. */
  private void sendQueries(String node) {
    List<PendingQuestion> waiting = unsent.remove(node);
    while (!waiting.isEmpty()) {
      Map<String, PendingQuestion> query = new LinkedHashMap<>();
      waiting.removeIf(pending -> query.putIfAbsent(pending.question.job(), pending) == null);
      sendQuery(node, query);
    }
  }

  private void sendQuery(String node, Map<String, PendingQuestion> query) {
    long serial = ++lastSerial;
    unanswered.put(serial, query);
    clock.schedule(RunStateTimes.ANSWER_TIMEOUT_MS, () -> unanswered.remove(serial));
    List<RunStateQuestion> questions = new ArrayList<>();
    for (PendingQuestion pending : query.values()) {
      pending.sentMs = clock.now();
      questions.add(pending.question);
    }
    metrics.increment("run_state_queries");
    effects.send(node, new RunStateQuery(settings.node(), store.incarnation(), serial, questions));
  }

  /** Handles a peer's reply. Replies to a former process of this controller are ignored. */
  public void receive(RunStateReply reply) {
    Map<String, PendingQuestion> query = unanswered.get(reply.serial());
    if (query == null || reply.incarnation() != store.incarnation()) {
      return;
    }
    for (RunStateAnswer answer : reply.answers()) {
      PendingQuestion pending = query.get(answer.job());
      if (pending != null && pending.node.equals(reply.node())) {
        query.remove(answer.job());
        pending.answer(observation(answer, pending.sentMs, clock.now()));
      }
    }
  }

  /**
   * Returns the observation of an answer to a question that was sent at this time and answered by
   * now. The answer was composed in between, so its times are rounded to the unfavourable side.
   */
  static RunObservation observation(RunStateAnswer answer, long sentMs, long now) {
    return answer.state() == RunState.UNKNOWN
        ? RunObservation.unknown(UnknownCause.PEER_DOES_NOT_KNOW)
        : new RunObservation(
            answer.state(),
            answer.runningTasks(),
            now - answer.sinceAgeMs(),
            sentMs - answer.ageMs(),
            null);
  }
}
