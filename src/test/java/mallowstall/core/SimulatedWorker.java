package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;

/** A stand-in for a worker and its machine. */
final class SimulatedWorker {
  private final Simulation sim;
  final String id;
  final String zone;
  final boolean spot;
  final long born;
  long token;
  long session = 1;
  long seq;
  long leaseFrom;
  boolean dead;
  boolean cut;

  /** Its reports arrive, answers and commands don't reach it. */
  boolean deaf;

  /** Its reports reach no controller; commands reach it and are answered. */
  boolean mute;

  /** Answers and commands reach it again. */
  void hearAgain() {
    cut = false;
    deaf = false;
  }

  /** It executes and sends nothing until then. */
  private long hangsUntil;

  /** What has come since it hangs, in order. */
  private final List<Runnable> held = new ArrayList<>();

  /** Its lease ran out while it hung: the next session begins when it goes on. */
  private boolean newSession;

  boolean faulty;

  /** When the cloud takes it away, by its notice; 0: no notice. */
  private long goneAt;

  String node;
  long flight;
  boolean inFlight;
  long lastReport = -10_000;
  boolean changed;
  final Map<String, Long> images = new HashMap<>();
  final Map<String, T> tasks = new LinkedHashMap<>();

  /** Tasks that completed here: their results are kept. */
  private final java.util.Set<String> completed = new java.util.HashSet<>();

  /** A task on the machine. */
  final class T {
    String job;
    int task;
    long attempt;
    TaskState state;
    ExitReason why;
    int step;

    /** When what it does now is done; later if its machine hangs. */
    long due;
  }

  SimulatedWorker(Simulation sim, String id, String zone, boolean spot) {
    this.sim = sim;
    this.id = id;
    this.zone = zone;
    this.spot = spot;
    this.born = sim.now;
    this.node = Simulation.NODES.get(sim.rnd.nextInt(3));
  }

  /** The cloud tells it that it will be gone after so long. */
  void notice(long ms) {
    if (dead || goneAt != 0) {
      return;
    }
    sim.strike("notice");
    goneAt = sim.now + ms;
    changed = true;
    sim.at(ms, () -> sim.killMachine(id));
  }

  void begin() {
    leaseFrom = sim.now;
    loop();
  }

  /**
   * Executes and sends nothing for so long. Its tasks make no progress meanwhile, and go on unless
   * its lease has run out.
   */
  void hang(long ms) {
    if (dead) {
      return;
    }
    sim.strike("hang");
    long more = Math.max(0, sim.now + ms - Math.max(sim.now, hangsUntil));
    hangsUntil = Math.max(hangsUntil, sim.now + ms);
    for (T task : tasks.values()) {
      task.due += more;
    }
    sim.at(ms, this::goOn);
  }

  boolean hangs() {
    return sim.now < hangsUntil;
  }

  private void goOn() {
    if (dead || hangs()) {
      return;
    }
    judgeLease();
    if (newSession) {
      leaseFrom = sim.now;
    }
    newSession = false;
    List<Runnable> come = new ArrayList<>(held);
    held.clear();
    for (Runnable action : come) {
      action.run();
    }
  }

  void whenAwake(Runnable action) {
    if (hangs()) {
      held.add(action);
    } else {
      action.run();
    }
  }

  /**
   * While it hangs nothing of this shows; its tasks count as gone from the lease's end on, since it
   * can't go on with them any more.
   */
  private void judgeLease() {
    if (sim.now - leaseFrom <= Simulation.LEASE || newSession) {
      return;
    }
    if (hangs()) {
      sim.strike("hang, beyond its lease");
    }
    for (T task : tasks.values()) {
      sim.rules.left(id, task.job, task.task, false);
    }
    tasks.clear();
    session++;
    leaseFrom = sim.now;
    newSession = hangs();
    changed = true;
  }

  void loop() {
    if (dead) {
      return;
    }
    judgeLease();
    if (hangs()) {
      sim.at(100, this::loop);
      return;
    }
    boolean due =
        sim.now - lastReport
                >= Simulation.REPORT * 3 / 4 + sim.rnd.nextInt((int) Simulation.REPORT / 2)
            || (changed && sim.now - lastReport >= 500);
    if (due && !inFlight) {
      report();
    }
    sim.at(100, this::loop);
  }

  Report snapshot() {
    List<TaskReport> l = new ArrayList<>();
    for (T task : tasks.values()) {
      l.add(new TaskReport(task.job, task.task, task.attempt, task.state, task.why, false));
    }
    Double noticeS = goneAt == 0 ? null : (Double) ((goneAt - sim.now) / 1000.0);
    return new Report(id, id, "t8", zone, spot, session, ++seq, token, noticeS, l);
  }

  void report() {
    inFlight = true;
    changed = false;
    lastReport = sim.now;
    long mine = ++flight;
    Report report = snapshot();
    SimulatedController controller = sim.nodes.get(node);
    sim.at(4_000, () -> whenAwake(() -> giveUp(mine)));
    if (mute) {
      sim.strike("mute");
      return;
    }
    if (sim.rnd.nextDouble() < sim.lateCopies) {
      sendLateCopy(report);
    }
    if (cutFrom(controller)) {
      if (sim.rnd.nextBoolean()) {
        sendLate(controller, report, 1_000 + sim.rnd.nextInt(20_000));
      }
      return;
    }
    if (!controller.up) {
      sim.at(5, () -> turnAway(mine));
      return;
    }
    if (sim.rnd.nextDouble() < sim.loss) {
      return; // lost, or answered to nobody
    }
    send(controller, report, mine);
  }

  /** No response has come for 4 s. */
  private void giveUp(long mine) {
    if (flight == mine && inFlight) {
      next();
    }
  }

  /** The connection failed. */
  private void turnAway(long mine) {
    if (flight == mine) {
      next();
    }
  }

  private void sendLateCopy(Report report) {
    SimulatedController any = sim.nodes.get(Simulation.NODES.get(sim.rnd.nextInt(3)));
    sim.copied++;
    sendLate(any, report, 200 + sim.rnd.nextInt(3 * (int) Simulation.LEASE));
  }

  /** The report arrives so much later; nobody waits for the answer. */
  private void sendLate(SimulatedController controller, Report report, long ms) {
    sim.at(
        ms,
        () -> {
          if (controller.up) {
            controller.event(
                () ->
                    controller.core.report(
                        report, sim.recorder.toWorker(controller, report, answer -> {})));
          }
        });
  }

  private void send(SimulatedController controller, Report report, long mine) {
    long sent = sim.now;
    int life = controller.life;
    sim.at(
        sim.delay(),
        () -> {
          if (!controller.up || controller.life != life) {
            turnAway(mine);
            return;
          }
          controller.event(
              () ->
                  controller.core.report(
                      report,
                      sim.recorder.toWorker(
                          controller,
                          report,
                          answer ->
                              sim.at(
                                  sim.delay() + controller.lateBy,
                                  () ->
                                      whenAwake(
                                          () ->
                                              answered(controller, report, answer, sent, mine))))));
        });
  }

  private void answered(
      SimulatedController controller, Report report, ReportAnswer answer, long sent, long mine) {
    // given up on, though it hung then
    if (sim.now - sent > 4_000) {
      giveUp(mine);
    }
    if (flight == mine && inFlight && !cutFrom(controller) && !deaf) {
      answer(answer, sent, report.session());
    }
  }

  boolean cutFrom(SimulatedController node) {
    return cut
        || sim.cutZone != null && zone.equals(sim.cutZone) != node.zone().equals(sim.cutZone);
  }

  private void next() {
    inFlight = false;
    flight++;
    node = Simulation.NODES.get((Simulation.NODES.indexOf(node) + 1) % 3);
    lastReport = sim.now + 1_000 - Simulation.REPORT * 5 / 4;
  }

  void answer(ReportAnswer answer, long sent, long forSession) {
    if (dead) {
      return;
    }
    inFlight = false;
    if (answer.status() == 421 && answer.reportTo() != null && !answer.reportTo().equals(node)) {
      node = answer.reportTo();
      lastReport = -10_000;
      return;
    }
    if (answer.status() != 200) {
      next();
      return;
    }
    if (answer.token() < token || forSession != session) {
      return;
    }
    if (answer.token() > token) {
      token = answer.token();
      changed = true;
    }
    leaseFrom = sent;
    for (Command command : answer.commands()) {
      execute(command);
    }
  }

  Effects.OrderReply orders(long tok, long ses, List<Command> commands) {
    if (dead) {
      return new Effects.OrderReply(Effects.Code.UNKNOWN, null);
    }
    if (tok < token || ses != session) {
      return new Effects.OrderReply(Effects.Code.CONFLICT, snapshot());
    }
    if (tok > token) {
      token = tok;
      changed = true;
    }
    for (Command command : commands) {
      execute(command);
    }
    return new Effects.OrderReply(Effects.Code.OK, snapshot());
  }

  void execute(Command command) {
    String key = command.job() + "/" + command.task() + "#" + command.attempt();
    T task = tasks.get(key);
    switch (command.kind()) {
      case START -> {
        if (task != null) {
          return;
        }
        task = new T();
        task.job = command.job();
        task.task = command.task();
        task.attempt = command.attempt();
        tasks.put(key, task);
        changed = true;
        for (T o : tasks.values()) {
          if (o != task
              && o.job.equals(task.job)
              && o.task == task.task
              && o.state != TaskState.EXITED) {
            task.state = TaskState.EXITED;
            task.why = ExitReason.BUSY;
            return;
          }
        }
        task.state = TaskState.FETCHING;
        T x = task;
        int step = ++task.step;
        progress(
            x,
            images.containsKey(command.job()) ? 1 : 500 + sim.rnd.nextInt(2_000),
            () -> running(x, key, step));
      }
      case STOP -> {
        if (task == null || task.state == TaskState.EXITED) {
          return;
        }
        exit(task, ExitReason.STOPPED);
      }
      case FORGET -> {
        if (task != null && task.state == TaskState.EXITED) {
          tasks.remove(key);
        }
      }
    }
  }

  private void progress(T task, long ms, Runnable then) {
    task.due = sim.now + ms;
    sim.at(ms, () -> atDue(task, then));
  }

  private void atDue(T task, Runnable then) {
    if (sim.now < task.due) {
      sim.at(task.due - sim.now, () -> atDue(task, then));
    } else {
      then.run();
    }
  }

  void running(T task, String key, int step) {
    if (dead || tasks.get(key) != task || task.step != step || task.state != TaskState.FETCHING) {
      return;
    }
    images.put(task.job, sim.now);
    if (completed.contains(task.job + "/" + task.task)) {
      sim.strike("result kept");
      exit(task, ExitReason.DONE);
      return;
    }
    task.state = TaskState.RUNNING;
    changed = true;
    sim.rules.started(
        sim.now, new InvariantChecker.OnMachine(id, task.job, task.task, "t8", zone, spot));
    if (sim.rules.service(task.job) && !faulty) {
      if (sim.replicaEnds > 0 && sim.rnd.nextDouble() < sim.replicaEnds) {
        endByChance(task, key);
      }
      return;
    }
    progress(
        task,
        faulty ? 1 : runs(task),
        () -> endItself(task, key, faulty ? ExitReason.ERROR : ExitReason.DONE));
  }

  private void endByChance(T task, String key) {
    ExitReason why = sim.rnd.nextBoolean() ? ExitReason.DONE : ExitReason.ERROR;
    sim.strike("replica ended: " + why);
    progress(task, sim.rnd.nextInt(20_000), () -> endItself(task, key, why));
  }

  private void endItself(T task, String key, ExitReason why) {
    if (dead || tasks.get(key) != task || task.state != TaskState.RUNNING) {
      return;
    }
    exit(task, why);
  }

  private long runs(T task) {
    Long own = sim.runOf.get(task.job + "/" + task.task);
    return own != null ? own : sim.runMs > 0 ? sim.runMs : 1_000 + sim.rnd.nextInt(6_000);
  }

  void exit(T task, ExitReason why) {
    boolean was = task.state == TaskState.RUNNING;
    task.state = TaskState.EXITED;
    task.why = why;
    changed = true;
    if (was) {
      sim.rules.left(id, task.job, task.task, why == ExitReason.DONE);
    }
    if (why == ExitReason.DONE) {
      completed.add(task.job + "/" + task.task);
    }
    if (was && why == ExitReason.DONE) {
      sim.cancelAtItsEnd(task.job);
    }
  }
}
