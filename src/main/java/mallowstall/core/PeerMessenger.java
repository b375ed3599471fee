package mallowstall.core;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.Model.CoreSettings;
import mallowstall.core.Model.Starts;
import mallowstall.core.Model.StopOrder;
import mallowstall.core.Model.Stops;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends requests to the controllers that lead machines; those to itself are delivered at once. */
final class PeerMessenger {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.core");

  private final CoreSettings settings;
  private final Effects effects;
  private final Store store;
  private final View view;
  private final Consumer<Starts> ownStarts;
  private final Consumer<Stops> ownStops;

  /** {@code ownStarts} and {@code ownStops} receive what this controller sends to itself. */
  PeerMessenger(
      CoreSettings settings,
      Effects effects,
      Store store,
      View view,
      Consumer<Starts> ownStarts,
      Consumer<Stops> ownStops) {
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.view = view;
    this.ownStarts = ownStarts;
    this.ownStops = ownStops;
  }

  /** A new connection to the peer stands; numbers only grow within a process. */
  void connected(String node, long connection) {
    View.Peer peer = view.peer(node);
    peer.connection = connection;
    // perhaps another process, which knows nothing yet
    peer.takenInSerial = 0;
    // says which connection counts from now on, so that starts lost with the last one are resolved
    effects.send(
        node,
        new Starts(
            settings.node(), store.incarnation(), connection, peer.nextSequence++, List.of()));
  }

  /** Sends starts to the controller that leads their machines. */
  void sendStarts(String node, Starts starts) {
    if (node.equals(settings.node())) {
      ownStarts.accept(starts);
    } else {
      effects.send(node, starts);
    }
  }

  /** Asks the controller to stop a task on one of its machines. */
  void stop(String node, StopOrder stop) {
    sendStops(node, new Stops(settings.node(), store.incarnation(), List.of(stop), List.of()));
  }

  /** Asks the controller to start nothing more on these machines of its own. */
  void drain(String node, List<String> machines) {
    LOG.info("drain {} through {}", machines, node);
    sendStops(node, new Stops(settings.node(), store.incarnation(), List.of(), machines));
  }

  private void sendStops(String node, Stops stops) {
    if (node.equals(settings.node())) {
      ownStops.accept(stops);
    } else {
      effects.send(node, stops);
    }
  }
}
