package mallowstall.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Draws troubles at random moments, two or three of which overlap, and ends each in time. */
final class SoakTroubles {
  private static final int GAP_MS_MAX = 5_000;

  private static final long SILENCE_MS_MIN = 4_000;

  private static final long SILENCE_GAP_MS = 1_500;

  /** The kinds of troubles. */
  enum Trouble {
    KILL,
    KILL_AT_ONCE_BACK,
    KILL_ALL,
    KILL_IN_SERIES,
    PAUSE,
    STATE_OUTAGE,
    STATE_REFUSES_ONE,
    REFUSED_THEN_OUTAGE,
    SLOW_STATE,
    LOST_ANSWERS,
    PEERS_HELD,
    PEERS_CUT,
    ISOLATED,
    MACHINES_HANG,
    MACHINES_MUTE,
    MACHINES_DEAF,
    MACHINES_LOST,
    CANCEL_NOW
  }

  private final LabNetwork network;
  private final SplittableRandom random;

  /** Draws machines that fall silent in turn, so that the other troubles of a seed stay. */
  private final SplittableRandom silenceRandom;

  private final LabStateService state;
  private final LabCloud cloud;
  private final SoakUsers users;
  private final List<ControllerProcess> controllers;

  /** The networks from and to each controller, by its name. */
  private final Map<String, List<PeerProxy>> proxies;

  final Map<Trouble, Integer> counts = new TreeMap<>();
  private boolean ended;

  SoakTroubles(
      LabNetwork network,
      long seed,
      LabStateService state,
      LabCloud cloud,
      SoakUsers users,
      List<ControllerProcess> controllers,
      Map<String, List<PeerProxy>> proxies) {
    this.network = network;
    this.random = new SplittableRandom(seed + 29);
    this.silenceRandom = new SplittableRandom(seed + 31);
    this.state = state;
    this.cloud = cloud;
    this.users = users;
    this.controllers = controllers;
    this.proxies = proxies;
  }

  void injectUntil(long untilMs) {
    if (network.nowMs() >= untilMs) {
      return;
    }
    Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
    counts.merge(trouble, 1, Integer::sum);
    inject(trouble, controllers.get(random.nextInt(controllers.size())));
    network.schedule(random.nextInt(GAP_MS_MAX), () -> injectUntil(untilMs));
  }

  /** Lets one machine after the other hang or hear nothing, each for less than a lease. */
  void silenceInTurnUntil(long untilMs) {
    if (network.nowMs() >= untilMs) {
      return;
    }
    List<LabWorker> workers = List.copyOf(cloud.workers.values());
    if (!workers.isEmpty()) {
      LabWorker worker = workers.get(silenceRandom.nextInt(workers.size()));
      long silentUntilMs = network.nowMs() + SILENCE_MS_MIN + silenceRandom.nextInt(5_000);
      if (silenceRandom.nextBoolean()) {
        worker.hangsUntilMs = silentUntilMs;
      } else {
        worker.deafUntilMs = silentUntilMs;
      }
    }
    network.schedule(SILENCE_GAP_MS, () -> silenceInTurnUntil(untilMs));
  }

  private void inject(Trouble trouble, ControllerProcess controller) {
    switch (trouble) {
      case KILL -> kill(controller, 1_000 + random.nextInt(12_000));
      case KILL_AT_ONCE_BACK -> kill(controller, random.nextInt(400));
      case KILL_ALL -> controllers.forEach(each -> kill(each, random.nextInt(3_000)));
      case KILL_IN_SERIES -> {
        for (int i = 0; i < 4; i++) {
          ControllerProcess next = controllers.get(random.nextInt(controllers.size()));
          network.schedule(i * 1_500L, () -> kill(next, random.nextInt(1_500)));
        }
      }
      case PAUSE -> {
        controller.stop();
        network.schedule(200 + random.nextInt(8_000), controller::resume);
      }
      case STATE_OUTAGE -> outage(2_000 + random.nextInt(15_000));
      case STATE_REFUSES_ONE -> refuse(controller, 2_000 + random.nextInt(20_000));
      case REFUSED_THEN_OUTAGE -> {
        refuse(controller, 2_000);
        users.cancelNow(3);
        network.schedule(2_000, () -> outage(10_000 + random.nextInt(10_000)));
      }
      case SLOW_STATE -> {
        state.extraDelayMs = 200 + random.nextInt(900);
        network.schedule(8_000, () -> state.extraDelayMs = 0);
      }
      case LOST_ANSWERS -> {
        state.lostAnswers = 0.3;
        network.schedule(8_000, () -> state.lostAnswers = 0);
      }
      case PEERS_HELD -> {
        proxies.get(controller.node()).forEach(PeerProxy::hold);
        passLater(controller, 1_000 + random.nextInt(10_000));
      }
      case PEERS_CUT -> {
        proxies.get(controller.node()).forEach(PeerProxy::refuse);
        passLater(controller, 1_000 + random.nextInt(15_000));
      }
      case ISOLATED -> {
        int forMs = 2_000 + random.nextInt(18_000);
        refuse(controller, forMs);
        proxies.get(controller.node()).forEach(PeerProxy::hold);
        passLater(controller, forMs);
      }
      case MACHINES_HANG ->
          someWorkers().forEach(w -> w.hangsUntilMs = network.nowMs() + random.nextInt(15_000));
      case MACHINES_MUTE ->
          someWorkers().forEach(w -> w.muteUntilMs = network.nowMs() + random.nextInt(20_000));
      case MACHINES_DEAF ->
          someWorkers().forEach(w -> w.deafUntilMs = network.nowMs() + random.nextInt(20_000));
      case MACHINES_LOST ->
          List.copyOf(cloud.workers.keySet()).stream()
              .filter(machine -> random.nextInt(6) == 0)
              .forEach(cloud::lose);
      case CANCEL_NOW -> users.cancelNow(1 + random.nextInt(6));
    }
  }

  private void kill(ControllerProcess controller, long downMs) {
    if (!ended && controller.isAlive()) {
      controller.kill();
      network.schedule(downMs, () -> restart(controller));
    }
  }

  private void restart(ControllerProcess controller) {
    if (!ended && !controller.isAlive()) {
      controller.start();
    }
  }

  private void outage(long forMs) {
    state.setOutage(true);
    network.schedule(forMs, () -> state.setOutage(false));
  }

  private void refuse(ControllerProcess controller, long forMs) {
    state.refused.add(controller.node());
    network.schedule(forMs, () -> state.refused.remove(controller.node()));
  }

  private void passLater(ControllerProcess controller, long delayMs) {
    network.schedule(delayMs, () -> proxies.get(controller.node()).forEach(PeerProxy::pass));
  }

  private List<LabWorker> someWorkers() {
    List<LabWorker> some = new ArrayList<>();
    for (LabWorker worker : cloud.workers.values()) {
      if (random.nextInt(4) == 0) {
        some.add(worker);
      }
    }
    return some;
  }

  /** Starts and kills no controller any more. */
  void end() {
    ended = true;
  }
}
