package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import mallowstall.Constants;
import mallowstall.core.Model.Command;
import mallowstall.core.Model.CommandKind;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.ExitReason;
import mallowstall.core.Model.JobRec;
import mallowstall.core.Model.JobSpec;
import mallowstall.core.Model.Report;
import mallowstall.core.Model.ReportAnswer;
import mallowstall.core.Model.StartOrder;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.TaskReport;
import mallowstall.core.Model.TaskState;
import mallowstall.core.OwnedMachine.Reservation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes in reports of the machines owned here, and answers them with commands. */
final class WorkerReports {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.owner");

  private final EventClock clock;
  private final CoreSettings settings;
  private final JobEntries jobEntries;
  private final ImageSizes imageSizes;
  private final Cancellations cancellations;
  private final Predicate<String> jobAtFault;
  private final Store store;
  private final OwnedMachines machines;
  private final RosterPublisher publisher;
  private final Terms terms;

  WorkerReports(
      EventClock clock,
      CoreSettings settings,
      Store store,
      JobEntries jobEntries,
      ImageSizes imageSizes,
      Cancellations cancellations,
      Predicate<String> jobAtFault,
      OwnedMachines machines,
      RosterPublisher publisher,
      Terms terms) {
    this.clock = clock;
    this.settings = settings;
    this.jobEntries = jobEntries;
    this.imageSizes = imageSizes;
    this.cancellations = cancellations;
    this.jobAtFault = jobAtFault;
    this.store = store;
    this.machines = machines;
    this.publisher = publisher;
    this.terms = terms;
  }

  /** Takes in a report that a worker sent by itself, and answers it. */
  ReportAnswer handle(OwnedMachine machine, Report report) {
    take(machine, report, true);
    return answer(machine);
  }

  /**
   * Takes in what the worker says of itself. {@code byReport}: it sent this by itself, so earlier
   * responses to its reports are dead.
   */
  void take(OwnedMachine machine, Report report, boolean byReport) {
    long now = clock.now();
    boolean news = saysMoreThanTasks(machine, report);
    if (report.session() > machine.session) {
      beginSession(machine, now);
    }
    if (byReport) {
      machine.handledReport = report.seq();
    }
    if (machine.commandLost
        && !machine.termChanging
        && report.token() >= machine.term
        && machine.termRaised) {
      machine.clearOpenStarts();
    }
    machine.session = report.session();
    machine.newestReport = report.seq();
    machine.heardAt = now;
    machine.address = report.addr();
    machine.lost = false;
    if (report.token() >= machine.term) {
      machine.confirmed = true;
    }
    machine.noticeUntil =
        report.noticeS() == null ? Long.MAX_VALUE : now + (long) (report.noticeS() * 1000);
    news |= takeTasks(machine, report);
    news |= dropReservations(machine, byReport);
    if (!machine.idle()) {
      machine.idleSince = 0;
    } else if (machine.idleSince == 0) {
      machine.idleSince = now;
    }
    if (news) {
      machine.changed = true;
      publisher.touch();
    }
  }

  /**
   * Whether something that statements tell, tasks apart, is about to change. A report that says
   * nothing new must cost nothing: most do, and each once made a statement to every peer.
   */
  private static boolean saysMoreThanTasks(OwnedMachine machine, Report report) {
    return machine.lost
        || report.session() != machine.session
        || report.token() >= machine.term && !machine.confirmed
        || (report.noticeS() == null) != (machine.noticeUntil == Long.MAX_VALUE)
        || !Objects.equals(report.addr(), machine.address);
  }

  /** The worker has begun a session that wasn't known: the tasks of earlier ones are gone. */
  private void beginSession(OwnedMachine machine, long now) {
    machine.announcedEnds.clear();
    machine.clearOpenStarts(); // the worker refuses commands for an earlier session
    machine.handledReport = 0;
    if (machine.session != 0
        && machine.confirmed
        && now - machine.answeredAt < settings.leaseMs() / 2) {
      // Its lease ran out although it was answered: it doesn't hear. It gets no task before it
      // has shown a new term; once a deaf machine drew start after start.
      LOG.info("machine {} lost its lease although it was answered", machine.id);
      machine.commandLost = true;
      terms.raise(machine);
    }
    // Its lease counts from when the session began, which may be known from a direct command's
    // answer alone: counted from the former session's last report, a machine that reaches no
    // controller was written off with tasks that it had just got.
    machine.answeredAt = Math.max(machine.answeredAt, now);
  }

  /** Takes over the worker's tasks; returns whether anything about them is new. */
  private boolean takeTasks(OwnedMachine machine, Report report) {
    if (listsTheSame(machine, report)) {
      return false;
    }
    Map<TaskAttempt, TaskReport> before = new HashMap<>(machine.tasks);
    machine.tasks.clear();
    for (TaskReport task : report.tasks()) {
      TaskAttempt attempt = TaskAttempt.of(task);
      machine.tasks.put(attempt, task);
      TaskReport previous = before.get(attempt);
      boolean changed = previous == null || previous.state() != task.state();
      if (!changed) {
        continue;
      }
      JobRec job = store.job(task.job());
      if (job != null && (task.state() == TaskState.RUNNING || task.why() == ExitReason.DONE)) {
        machine.cacheImage(job.spec().image(), imageSizes::gigabytes);
      }
      if (task.state() == TaskState.EXITED) {
        ended(machine, task);
      }
    }
    machine.replaced.retainAll(machine.tasks.keySet());
    return true;
  }

  private static boolean listsTheSame(OwnedMachine machine, Report report) {
    if (machine.tasks.size() != report.tasks().size()) {
      return false;
    }
    for (TaskReport task : report.tasks()) {
      TaskReport known = machine.tasks.get(TaskAttempt.of(task));
      if (known == null
          || known.state() != task.state()
          || known.why() != task.why()
          || known.saved() != task.saved()) {
        return false;
      }
    }
    return true;
  }

  /** Drops accepted starts that have arrived or never will; returns whether there were any. */
  private boolean dropReservations(OwnedMachine machine, boolean byReport) {
    int before = machine.reservations.size();
    Iterator<Reservation> it = machine.reservations.values().iterator();
    while (it.hasNext()) {
      Reservation reservation = it.next();
      StartOrder start = reservation.order;
      TaskKey key = new TaskKey(start.job(), start.task());
      if (machine.tasks.containsKey(new TaskAttempt(key.job(), key.task(), start.attempt()))) {
        it.remove();
      } else if (!byReport || machine.openStarts.containsKey(key)) {
        continue; // may still arrive at the worker
      } else if (clock.wallClock() > start.expiryWallMs()) {
        // sent or not: a response is never executed once a later report was sent, and this is one
        it.remove();
      }
    }
    return machine.reservations.size() != before;
  }

  private void ended(OwnedMachine machine, TaskReport task) {
    if (task.why() == ExitReason.DONE) {
      machine.errorsInRow = 0;
    } else if (task.why() == ExitReason.ERROR && !jobAtFault.test(task.job())) {
      machine.errorsInRow++;
      LOG.info(
          "task {}/{} failed on {}, {} in a row",
          task.job(),
          task.task(),
          machine.id,
          machine.errorsInRow);
      if (machine.errorsInRow >= Constants.FAULTY_ERRORS) {
        machine.quarantineUntil = clock.now() + Constants.QUARANTINE_MS;
        if (machine.errorsInRow >= Constants.BROKEN_ERRORS) {
          machine.faulty = true;
        }
      }
    }
  }

  /** Stops, forgets and starts what the worker should, in one answer. */
  private ReportAnswer answer(OwnedMachine machine) {
    List<Command> stops = new ArrayList<>();
    List<Command> commands = new ArrayList<>();
    for (TaskReport task : machine.tasks.values()) {
      if (task.state() == TaskState.EXITED) {
        if (forgets(machine, task)) {
          commands.add(command(CommandKind.FORGET, task, 0));
        }
        machine.stops.remove(TaskAttempt.of(task).key());
      } else {
        OptionalDouble grace = stopGrace(machine, task);
        grace.ifPresent(seconds -> stops.add(command(CommandKind.STOP, task, seconds)));
      }
    }
    machine.stops.keySet().removeIf(key -> !machine.holds(key));
    commands.addAll(stops);
    addStarts(machine, commands);
    machine.answeredAt = clock.now();
    return ReportAnswer.ok(machine.term, commands);
  }

  private static Command command(CommandKind kind, TaskReport task, double graceS) {
    return new Command(kind, task.job(), task.task(), task.attempt(), graceS);
  }

  /** Whether the worker needn't list the ended task any more. */
  private boolean forgets(OwnedMachine machine, TaskReport task) {
    JobRec job = store.job(task.job());
    TaskKey key = TaskAttempt.of(task).key();
    if (job == null || machine.openStarts.containsKey(key)) {
      return false;
    }
    return cancellations.isOver(task.job(), job)
        || jobEntries.recorded(job, task.task())
        || machines.runsAgain(task) && machine.announcedEnds.getLong(key) == task.attempt();
  }

  /** Seconds that the task gets to save before it is stopped; none: it goes on. */
  private OptionalDouble stopGrace(OwnedMachine machine, TaskReport task) {
    JobRec job = store.job(task.job());
    if (cancellations.isOver(task.job(), job)
        || job != null && jobEntries.recorded(job, task.task())) {
      return OptionalDouble.of(0);
    }
    StopOrder stop = machine.stops.get(TaskAttempt.of(task).key());
    if (stop != null && stop.attempt() == task.attempt()) {
      return task.state() == TaskState.SAVING
          ? OptionalDouble.empty()
          : OptionalDouble.of(stop.graceS());
    }
    return job != null && savesBeforeNotice(machine, task, job.spec())
        ? OptionalDouble.of(job.spec().saveS() + Constants.SAVE_SLACK_S)
        : OptionalDouble.empty();
  }

  /** Whether the machine will soon be taken, so that the task has just the time to save. */
  private boolean savesBeforeNotice(OwnedMachine machine, TaskReport task, JobSpec spec) {
    return machine.noticeUntil != Long.MAX_VALUE
        && task.state() == TaskState.RUNNING
        && spec.checkpointS() > 0
        && machine.noticeUntil - clock.now() < (spec.saveS() + Constants.NOTICE_SAVE_S) * 1000;
  }

  /** Adds accepted starts as far as the answer has room; refuses those that came too late. */
  private void addStarts(OwnedMachine machine, List<Command> commands) {
    Iterator<Reservation> reservations = machine.reservations.values().iterator();
    while (reservations.hasNext() && commands.size() < Constants.COMMANDS_MAX) {
      Reservation reservation = reservations.next();
      StartOrder start = reservation.order;
      TaskKey key = new TaskKey(start.job(), start.task());
      if (machine.openStarts.containsKey(key)) {
        continue;
      }
      JobRec job = store.job(start.job());
      boolean unwanted =
          cancellations.isOver(start.job(), job)
              || job != null && jobEntries.recorded(job, start.task());
      if (unwanted || machine.stops.containsKey(key) || clock.wallClock() > start.expiryWallMs()) {
        // every earlier response is dead by now (this answers a later report), so it never runs
        reservations.remove();
        machine.changed = true;
        publisher.refuse(start, unwanted ? "not wanted any more" : "too late");
        continue;
      }
      reservation.sent = true;
      commands.add(new Command(CommandKind.START, start.job(), start.task(), start.attempt(), 0));
    }
  }
}
