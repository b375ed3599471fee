package mallowstall.core;

import static mallowstall.core.model.JobSpecBuilder.batchJob;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.kv.StateKeys;
import mallowstall.core.model.AcceptanceQuery;
import mallowstall.core.model.AcceptanceQueryEnd;
import mallowstall.core.model.AcceptanceReply;
import mallowstall.core.model.ApiResponse;
import mallowstall.core.model.Heartbeat;
import mallowstall.core.model.HeartbeatResponse;
import mallowstall.core.model.JobEntry;
import mallowstall.core.model.JobSpec;
import mallowstall.core.model.OutcomeAcknowledgement;
import mallowstall.core.model.OutcomeAnnouncement;
import mallowstall.core.model.PeerMessage;
import mallowstall.core.model.ProgramVersion;

/**
 * A simulated history of one job in which the order of events is forced: processes stand still at
 * chosen points, messages between controllers come late or twice, and users get an answer in the
 * moment in which it arrives, unless they have given up before.
 */
final class ForcedHistory implements Recorder {
  static final String JOB = "wk-000001";

  /** The controller whose answers may come late, and the one that accepts and cancels the job. */
  static final String ASKED = "n1";

  static final String OTHER = "n0";

  static final String THIRD = "n2";

  /** ms. Users try again after so long, or later if the answer says so. */
  static final long RETRY_MS = 1_000;

  /** ms. All stalls are over by then, and users have given up. */
  static final long ALL_ANSWERED_MS = 8_000;

  /** ms. A submission takes one transaction, as ever. */
  private static final long ACCEPTED_WITHIN_MS = 700;

  /** ms. The longest that a user may be without an answer. */
  private static final long UNANSWERED_MAX_MS = 75_000;

  /** ms. By then every controller has its replica and has heard of all peers. */
  private static final long READY_MS = 8_000;

  /** The write of an answer that a core has decided on, and its way to the user. */
  interface AnswerWriter {
    /** Called within the event that has decided on the answer. */
    void write(StallableProcess process, ApiResponse decided, Consumer<ApiResponse> user);
  }

  /** How messages between controllers travel. */
  interface MessageDelays {
    /** ms until each delivery: 0 is the usual way, none at all is a loss. */
    List<Long> of(String from, String to, PeerMessage message);
  }

  /** A user's request and what came of it; times are -1 until that has happened. */
  static final class Exchange {
    final UserRequest request;
    final String node;
    final long askedMs;
    long decidedMs = -1;
    long leftMs = -1;
    int answers;

    /** The answer as it came to the user; null: none came before the user gave up. */
    ApiResponse received;

    Exchange(UserRequest request, String node, long askedMs) {
      this.request = request;
      this.node = node;
      this.askedMs = askedMs;
    }
  }

  /** One user's attempts until the job's state is told; times are -1 until then. */
  static final class Attempts {
    final long begunMs;
    long toldMs = -1;

    Attempts(long begunMs) {
      this.begunMs = begunMs;
    }
  }

  final Simulation simulation;
  final List<String> trace = new ArrayList<>();
  MessageDelays messageDelays = (from, to, message) -> List.of(0L);

  /** When the state service got the job's entry, and the entry of its end; -1: not yet. */
  long recordedMs = -1;

  long endRecordedMs = -1;

  private final AnswerWriter answerWriter;
  private final Map<String, StallableProcess> processes = new HashMap<>();

  /** Every controller is ready, and a user is about to submit the job. */
  ForcedHistory(long seed, long taskRunMs, AnswerWriter answerWriter) {
    this.answerWriter = answerWriter;
    simulation = new Simulation(seed, ProgramVersion.CURRENT, this);
    simulation.taskRunMs = taskRunMs;
    simulation.stateService.onApplied = this::onApplied;
    simulation.runUntil(READY_MS);
    trace.clear();
    simulation.checker.onSubmitted(job());
  }

  static JobSpec job() {
    return batchJob(JOB).tasks(1).cpus(1).build();
  }

  long nowMs() {
    return simulation.nowMs;
  }

  SimulatedController controller(String node) {
    return simulation.controllers.get(node);
  }

  /** The node's present process. */
  StallableProcess process(String node) {
    return processes.get(node);
  }

  void run(long ms) {
    simulation.runUntil(simulation.nowMs + ms);
  }

  void trace(String what) {
    trace.add(nowMs() - READY_MS + " " + what);
  }

  private void onApplied(Transaction transaction) {
    for (PutOperation put : transaction.puts()) {
      if (!put.key().equals(StateKeys.job(JOB)) || !(put.value() instanceof JobEntry entry)) {
        continue;
      }
      if (recordedMs < 0) {
        recordedMs = nowMs();
        trace("the job is recorded");
      }
      if (entry.isTerminal() && endRecordedMs < 0) {
        endRecordedMs = nowMs();
        trace("the job's end is recorded");
      }
    }
  }

  /** A user asks the controller once. */
  Exchange ask(String node, UserRequest request) {
    return ask(node, request, exchange -> {});
  }

  private Exchange ask(String node, UserRequest request, Consumer<Exchange> onReceived) {
    if (request == UserRequest.CANCELLATION) {
      simulation.checker.onCancelRequested(JOB);
    }
    Exchange exchange = new Exchange(request, node, nowMs());
    trace(node + " is asked: " + request);
    SimulatedController controller = controller(node);
    controller.enqueueEvent(
        () -> request.send(controller.core, decided -> onDecided(exchange, decided, onReceived)));
    return exchange;
  }

  private void onDecided(Exchange exchange, ApiResponse decided, Consumer<Exchange> onReceived) {
    exchange.answers++;
    exchange.decidedMs = nowMs();
    trace(exchange.node + " decides to answer " + exchange.request + ": " + describe(decided));
    answerWriter.write(
        process(exchange.node), decided, response -> onArrival(exchange, response, onReceived));
  }

  private void onArrival(Exchange exchange, ApiResponse response, Consumer<Exchange> onReceived) {
    exchange.leftMs = nowMs();
    boolean heard = nowMs() - exchange.askedMs <= exchange.request.timeoutMs();
    trace(
        exchange.node
            + (heard ? " tells the user of " : " answers too late the user of ")
            + (exchange.request + ": " + describe(response)));
    if (!heard) {
      return;
    }
    exchange.received = response;
    simulation.checker.onAnswer(
        nowMs(), exchange.askedMs, JOB, response.status(), response.state());
    onReceived.accept(exchange);
  }

  /** A user asks again and again until the job's state is told. */
  Attempts askUntilTold(String node, UserRequest request, long retryMs) {
    Attempts attempts = new Attempts(nowMs());
    attempt(node, request, retryMs, attempts);
    return attempts;
  }

  private void attempt(String node, UserRequest request, long retryMs, Attempts attempts) {
    if (attempts.toldMs >= 0) {
      return;
    }
    if (!controller(node).running) {
      simulation.schedule(retryMs, () -> attempt(node, request, retryMs, attempts));
      return;
    }
    Runnable retry = () -> attempt(node, request, retryMs, attempts);
    Exchange asked =
        ask(
            node,
            request,
            exchange -> {
              if (exchange.received.state() == null) {
                simulation.schedule(retryMs, retry);
              } else if (attempts.toldMs < 0) {
                attempts.toldMs = nowMs();
              }
            });
    simulation.schedule(
        request.timeoutMs(),
        () -> {
          if (asked.received == null) {
            retry.run();
          }
        });
  }

  /** The job is accepted at once. */
  void submitNow() {
    Attempts submission = askUntilTold(OTHER, UserRequest.SUBMISSION, RETRY_MS);
    run(3_000);
    long tookMs = submission.toldMs - submission.begunMs;
    assertTrue(tookMs >= 0 && tookMs <= ACCEPTED_WITHIN_MS, "accepted after " + tookMs + " ms");
  }

  /** Runs until the user knows, and until every other one has given up. */
  void finish(Attempts attempts) {
    run(ALL_ANSWERED_MS);
    while (attempts.toldMs < 0 && nowMs() - attempts.begunMs < UNANSWERED_MAX_MS) {
      run(100);
    }
    assertTrue(attempts.toldMs >= 0, () -> "without an answer: " + trace);
  }

  /**
   * Asks about the job, which is submitted to the other controller a little later.
   *
   * @return whether it was recorded after the question and before its answer left
   */
  boolean askThenSubmit(UserRequest request, long submitAfterMs) {
    Exchange asked = ask(ASKED, request);
    run(submitAfterMs);
    finish(askUntilTold(OTHER, UserRequest.SUBMISSION, RETRY_MS));
    assertEquals(1, asked.answers, () -> "answered once: " + trace);
    return recordedMs > asked.askedMs && asked.leftMs > recordedMs;
  }

  /**
   * Asks about the job, which is cancelled at the other controller a little later.
   *
   * @return whether the end was recorded after the question and before its answer left
   */
  boolean askThenCancel(UserRequest request, long cancelAfterMs) {
    Exchange asked = ask(ASKED, request);
    run(cancelAfterMs);
    finish(askUntilTold(OTHER, UserRequest.CANCELLATION, RETRY_MS));
    assertEquals(1, asked.answers, () -> "answered once: " + trace);
    return endRecordedMs > asked.askedMs && asked.leftMs > endRecordedMs;
  }

  /** The asked controller learns of the job from nobody, and one peer's replies come late. */
  void delayLeases(long replyDelayMs) {
    controller(ASKED).watchStalled = true;
    messageDelays =
        (from, to, message) ->
            List.of(from.equals(THIRD) && message instanceof AcceptanceReply ? replyDelayMs : 0L);
  }

  /** A process sends a message to a peer; {@code usualWay} does so over its connection. */
  void send(SimulatedController from, String to, PeerMessage message, Runnable usualWay) {
    for (long delayMs : messageDelays.of(from.name, to, message)) {
      traceMessage(from.name, to, message, delayMs);
      if (delayMs == 0) {
        usualWay.run();
      } else {
        deliverLate(to, message, delayMs);
      }
    }
  }

  /** Like a message on a connection of its own, which later connections may overtake. */
  private void deliverLate(String to, PeerMessage message, long delayMs) {
    SimulatedController receiver = controller(to);
    int receivingProcess = receiver.processNumber;
    simulation.schedule(
        delayMs,
        () -> {
          if (receiver.processNumber == receivingProcess) {
            receiver.enqueueEvent(() -> receiver.core.handleMessage(message));
          }
        });
  }

  private void traceMessage(String from, String to, PeerMessage message, long delayMs) {
    String what;
    if (message instanceof AcceptanceQuery query) {
      what = "query " + query.serial();
    } else if (message instanceof AcceptanceReply reply) {
      boolean granted = reply.possiblyAccepted().isEmpty();
      what = "reply " + reply.serial() + (granted ? ": lease granted" : ": no lease");
    } else if (message instanceof AcceptanceQueryEnd end) {
      what = "end of query " + end.serial();
    } else if (message instanceof OutcomeAnnouncement) {
      what = "announcement";
    } else if (message instanceof OutcomeAcknowledgement) {
      what = "acknowledgement";
    } else {
      return;
    }
    trace(from + " -> " + to + " " + what + (delayMs > 0 ? ", late by " + delayMs + " ms" : ""));
  }

  private static String describe(ApiResponse response) {
    return response.status() + (response.state() == null ? "" : " " + response.state());
  }

  @Override
  public Effects effects(SimulatedController node, Effects world) {
    StallableProcess process = new StallableProcess(this, node, world);
    processes.put(node.name, process);
    return process;
  }

  @Override
  public Consumer<ApiResponse> toUser(
      SimulatedController node, String job, Consumer<ApiResponse> user) {
    return user;
  }

  @Override
  public Consumer<HeartbeatResponse> toWorker(
      SimulatedController node, Heartbeat heartbeat, Consumer<HeartbeatResponse> worker) {
    return worker;
  }
}
