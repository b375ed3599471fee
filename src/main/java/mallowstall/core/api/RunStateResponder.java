package mallowstall.core.api;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.EventClock;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.RunObservation;
import mallowstall.core.model.RunState;
import mallowstall.core.model.RunStateAnswer;
import mallowstall.core.model.RunStateQuery;
import mallowstall.core.model.RunStateQuestion;
import mallowstall.core.model.RunStateReply;

/**
 * Answers other controllers' questions about running tasks: as the leader of a job for all of its
 * tasks, and as a machine leader for those on its machines. Confined to the event loop.
 */
public final class RunStateResponder {
  /** Time in milliseconds for which answers to one query are collected into a reply. */
  private static final long BATCH_WINDOW_MS = 5;

  private final EventClock clock;
  private final CoreSettings settings;
  private final Effects effects;
  private final LocalRunStates local;
  private final LeaderRunStates leaderRunStates;
  private final RunStateMailbox mailbox;

  /** Creates a responder that also receives the queries of the mailbox. */
  public RunStateResponder(
      EventClock clock,
      CoreSettings settings,
      Effects effects,
      LocalRunStates local,
      LeaderRunStates leaderRunStates,
      RunStateMailbox mailbox) {
    this.clock = clock;
    this.settings = settings;
    this.effects = effects;
    this.local = local;
    this.leaderRunStates = leaderRunStates;
    this.mailbox = mailbox;
    mailbox.subscribe(this::receiveFromMailbox);
  }

  /** Answers a query that a peer has sent directly, including the questions without an answer. */
  public void receive(RunStateQuery query) {
    if (settings.peers().contains(query.node())) {
      new Response(query, true, reply -> effects.send(query.node(), reply)).begin();
    }
  }

  /** Answers a query from the state service as far as something is known, which saves writes. */
  private void receiveFromMailbox(RunStateQuery query) {
    new Response(query, false, mailbox::reply).begin();
  }

  private void answer(RunStateQuestion question, Consumer<RunObservation> callback) {
    RunObservation running = local.latestRunning(question.job());
    if (running.isRunning() && clock.now() - running.atMs() <= question.maxAgeMs()) {
      callback.accept(running);
    } else if (question.machines().isEmpty()
        && local.locate(question.job(), question.leaderEpoch()) != null) {
      leaderRunStates.observe(question.job(), question.leaderEpoch(), callback);
    } else {
      local.observe(question, callback);
    }
  }

  /** The answers to one query, which may be sent in several replies. */
  private final class Response {
    private final RunStateQuery query;
    private final boolean sendsUnknown;
    private final Consumer<RunStateReply> sender;
    private final List<RunObservation> observations = new ArrayList<>();
    private final List<String> jobs = new ArrayList<>();

    Response(RunStateQuery query, boolean sendsUnknown, Consumer<RunStateReply> sender) {
      this.query = query;
      this.sendsUnknown = sendsUnknown;
      this.sender = sender;
    }

    void begin() {
      for (RunStateQuestion question : query.questions()) {
        answer(question, observation -> add(question.job(), observation));
      }
    }

    private void add(String job, RunObservation observation) {
      if (!observation.isKnown() && !sendsUnknown) {
        return;
      }
      if (jobs.isEmpty()) {
        clock.schedule(BATCH_WINDOW_MS, this::send);
      }
      jobs.add(job);
      observations.add(observation);
    }

    private void send() {
      List<RunStateAnswer> answers = new ArrayList<>();
      for (int i = 0; i < jobs.size(); i++) {
        answers.add(answerOf(jobs.get(i), observations.get(i)));
      }
      jobs.clear();
      observations.clear();
      sender.accept(
          new RunStateReply(
              settings.node(), query.node(), query.incarnation(), query.serial(), answers));
    }
  }

  private RunStateAnswer answerOf(String job, RunObservation observation) {
    if (!observation.isKnown()) {
      return new RunStateAnswer(job, RunState.UNKNOWN, 0, 0, 0);
    }
    return new RunStateAnswer(
        job,
        observation.state(),
        observation.runningTasks(),
        clock.now() - observation.sinceMs(),
        clock.now() - observation.atMs());
  }
}
