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
 * A simulated history of one job in which the test forces the order of events. Processes stall at
 * chosen points, and messages between controllers are delayed, duplicated or lost. A user receives
 * an answer at the moment of its arrival unless the user's request has timed out.
 */
final class ForcedHistory implements Recorder {
  static final String JOB = "wk-000001";

  /** The controller whose answers may be late. */
  static final String ASKED = "n1";

  /** The controller that accepts and cancels the job. */
  static final String OTHER = "n0";

  static final String THIRD = "n2";

  /** Delay in milliseconds after which users retry a request whose answer lacks the job's state. */
  static final long RETRY_MS = 1_000;

  /** Time in milliseconds after which all stalls are over and all requests have timed out. */
  static final long ALL_ANSWERED_MS = 8_000;

  /** Maximum time in milliseconds of a submission, which takes one transaction. */
  private static final long MAX_ACCEPTANCE_MS = 700;

  /** Maximum time in milliseconds that a user may be without an answer. */
  private static final long MAX_UNANSWERED_MS = 75_000;

  /**
   * Time in milliseconds by which every controller has a state replica and has messages from all
   * peers.
   */
  private static final long READY_MS = 8_000;

  /** Writes an answer that a core has decided on, and delivers it to the user. */
  interface AnswerWriter {
    /** Called within the event in which the core decides on the answer. */
    void write(StallableProcess process, ApiResponse decided, Consumer<ApiResponse> user);
  }

  /** The delays of messages between controllers. */
  interface MessageDelays {
    /**
     * Returns the delay of each delivery in milliseconds. A delay of 0 uses the simulated
     * connection; an empty list loses the message.
     */
    List<Long> of(String from, String to, PeerMessage message);
  }

  /** A user's request and its answer; the time of an event is -1 until the event happens. */
  static final class Exchange {
    final UserRequest request;
    final String node;
    final long requestedMs;
    long decidedMs = -1;
    long sentMs = -1;
    int answers;

    /** The answer that the user received, or null if none arrived before the timeout. */
    ApiResponse received;

    Exchange(UserRequest request, String node, long requestedMs) {
      this.request = request;
      this.node = node;
      this.requestedMs = requestedMs;
    }
  }

  /**
   * The attempts of one user until an answer contains the job's state; {@code stateReportedMs} is
   * -1 until then.
   */
  static final class Attempts {
    final long startedMs;
    long stateReportedMs = -1;

    Attempts(long startedMs) {
      this.startedMs = startedMs;
    }
  }

  final Simulation simulation;
  final List<String> trace = new ArrayList<>();
  MessageDelays messageDelays = (from, to, message) -> List.of(0L);

  /** The time at which the state service stores the job's first entry, or -1 before that. */
  long recordedMs = -1;

  /** The time at which the state service stores the job's outcome, or -1 before that. */
  long outcomeRecordedMs = -1;

  private final AnswerWriter answerWriter;
  private final Map<String, StallableProcess> processes = new HashMap<>();

  /** Runs until every controller is ready, and registers the job as about to be submitted. */
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

  /** Returns the current process of the node. */
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
      if (entry.isTerminal() && outcomeRecordedMs < 0) {
        outcomeRecordedMs = nowMs();
        trace("the job's end is recorded");
      }
    }
  }

  /** Sends one request of a user to the controller. */
  Exchange ask(String node, UserRequest request) {
    return ask(node, request, exchange -> {});
  }

  private Exchange ask(String node, UserRequest request, Consumer<Exchange> onReceived) {
    if (request == UserRequest.CANCELLATION) {
      simulation.checker.onCancelRequested(JOB);
    }
    Exchange exchange = new Exchange(request, node, nowMs());
    trace(node + " receives " + request);
    SimulatedController controller = controller(node);
    controller.enqueueEvent(
        () -> request.send(controller.core, decided -> onDecided(exchange, decided, onReceived)));
    return exchange;
  }

  private void onDecided(Exchange exchange, ApiResponse decided, Consumer<Exchange> onReceived) {
    exchange.answers++;
    exchange.decidedMs = nowMs();
    trace(exchange.node + " decides to answer " + exchange.request + ": " + describe(decided));
    Runnable closeConnection = controller(exchange.node).closeConnection(decided);
    answerWriter.write(
        process(exchange.node),
        decided,
        response -> {
          onArrival(exchange, response, onReceived);
          closeConnection.run();
        });
  }

  private void onArrival(Exchange exchange, ApiResponse response, Consumer<Exchange> onReceived) {
    exchange.sentMs = nowMs();
    boolean inTime = nowMs() - exchange.requestedMs <= exchange.request.timeoutMs();
    trace(
        exchange.node
            + (inTime ? " answers " : " answers after the timeout ")
            + (exchange.request + ": " + describe(response)));
    if (!inTime) {
      return;
    }
    exchange.received = response;
    simulation.checker.onAnswer(
        nowMs(), exchange.requestedMs, JOB, response.status(), response.state());
    onReceived.accept(exchange);
  }

  /** Sends a user's request repeatedly until an answer contains the job's state. */
  Attempts requestUntilStateReported(String node, UserRequest request, long retryMs) {
    Attempts attempts = new Attempts(nowMs());
    attempt(node, request, retryMs, attempts);
    return attempts;
  }

  private void attempt(String node, UserRequest request, long retryMs, Attempts attempts) {
    if (attempts.stateReportedMs >= 0) {
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
              } else if (attempts.stateReportedMs < 0) {
                attempts.stateReportedMs = nowMs();
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

  /** Submits the job and checks that the controller accepts it without delay. */
  void submitNow() {
    Attempts submission = requestUntilStateReported(OTHER, UserRequest.SUBMISSION, RETRY_MS);
    run(3_000);
    long tookMs = submission.stateReportedMs - submission.startedMs;
    assertTrue(tookMs >= 0 && tookMs <= MAX_ACCEPTANCE_MS, "accepted after " + tookMs + " ms");
  }

  /** Runs until the attempts have succeeded and every other user's request has timed out. */
  void finish(Attempts attempts) {
    run(ALL_ANSWERED_MS);
    while (attempts.stateReportedMs < 0 && nowMs() - attempts.startedMs < MAX_UNANSWERED_MS) {
      run(100);
    }
    assertTrue(attempts.stateReportedMs >= 0, () -> "without an answer: " + trace);
  }

  /**
   * Sends a request about the job, which is submitted to the other controller {@code submitAfterMs}
   * later.
   *
   * @return whether the job was recorded after the request and before the request's answer was sent
   */
  boolean askThenSubmit(UserRequest request, long submitAfterMs) {
    Exchange asked = ask(ASKED, request);
    run(submitAfterMs);
    finish(requestUntilStateReported(OTHER, UserRequest.SUBMISSION, RETRY_MS));
    assertEquals(1, asked.answers, () -> "answered once: " + trace);
    return recordedMs > asked.requestedMs && asked.sentMs > recordedMs;
  }

  /**
   * Sends a request about the job, which is cancelled at the other controller {@code cancelAfterMs}
   * later.
   *
   * @return whether the outcome was recorded after the request and before the request's answer was
   *     sent
   */
  boolean askThenCancel(UserRequest request, long cancelAfterMs) {
    Exchange asked = ask(ASKED, request);
    run(cancelAfterMs);
    finish(requestUntilStateReported(OTHER, UserRequest.CANCELLATION, RETRY_MS));
    assertEquals(1, asked.answers, () -> "answered once: " + trace);
    return outcomeRecordedMs > asked.requestedMs && asked.sentMs > outcomeRecordedMs;
  }

  /**
   * Delays the acceptance replies of the third controller, and stalls the watch of the asked
   * controller so that the controller does not see the job's entry.
   */
  void stallWatchAndDelayReplies(long replyDelayMs) {
    controller(ASKED).watchStalled = true;
    messageDelays =
        (from, to, message) ->
            List.of(from.equals(THIRD) && message instanceof AcceptanceReply ? replyDelayMs : 0L);
  }

  /**
   * Sends a message to a peer with the configured delays; {@code sendOverConnection} sends it over
   * the simulated connection.
   */
  void send(SimulatedController from, String to, PeerMessage message, Runnable sendOverConnection) {
    for (long delayMs : messageDelays.of(from.name, to, message)) {
      traceMessage(from.name, to, message, delayMs);
      if (delayMs == 0) {
        sendOverConnection.run();
      } else {
        deliverLate(to, message, delayMs);
      }
    }
  }

  /**
   * Delivers the message after the delay, outside of the simulated connection. Messages that are
   * sent later may overtake it.
   */
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
  public Effects effects(SimulatedController node, Effects delegate) {
    StallableProcess process = new StallableProcess(this, node, delegate);
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
