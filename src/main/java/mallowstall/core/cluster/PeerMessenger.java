package mallowstall.core.cluster;

import java.util.List;
import java.util.function.Consumer;
import mallowstall.core.kernel.Effects;
import mallowstall.core.kv.StateStore;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.StartBatch;
import mallowstall.core.model.StopBatch;
import mallowstall.core.model.StopRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests to machine leaders. Requests to this controller itself are delivered immediately.
 */
public final class PeerMessenger {
  private static final Logger LOG = LoggerFactory.getLogger("mallowstall.core");

  private final CoreSettings settings;
  private final Effects effects;
  private final StateStore store;
  private final ClusterView view;
  private final Consumer<StartBatch> ownStarts;
  private final Consumer<StopBatch> ownStops;

  /** The two consumers receive the requests that this controller sends to itself. */
  public PeerMessenger(
      CoreSettings settings,
      Effects effects,
      StateStore store,
      ClusterView view,
      Consumer<StartBatch> ownStarts,
      Consumer<StopBatch> ownStops) {
    this.settings = settings;
    this.effects = effects;
    this.store = store;
    this.view = view;
    this.ownStarts = ownStarts;
    this.ownStops = ownStops;
  }

  /** Handles a new connection to the peer; connection numbers only grow within a process. */
  public void peerConnected(String node, long connection) {
    PeerState peer = view.peer(node);
    peer.startConnection(connection);
    // Announces the new connection, so that starts lost with the previous one are resolved.
    effects.send(
        node,
        StartBatch.announcement(
            settings.node(), store.incarnation(), connection, peer.takeSequence()));
  }

  /** Sends start requests to the controller that leads their machines. */
  public void sendStarts(String node, StartBatch startBatch) {
    if (node.equals(settings.node())) {
      ownStarts.accept(startBatch);
    } else {
      effects.send(node, startBatch);
    }
  }

  /** Sends a request to stop a task to the controller that leads its machine. */
  public void sendStop(String node, StopRequest stop) {
    sendStops(node, new StopBatch(settings.node(), store.incarnation(), List.of(stop), List.of()));
  }

  /** Sends a request to start no more tasks on these machines to the controller that leads them. */
  public void sendDrain(String node, List<String> machines) {
    LOG.info("drain {} through {}", machines, node);
    sendStops(node, new StopBatch(settings.node(), store.incarnation(), List.of(), machines));
  }

  private void sendStops(String node, StopBatch stopBatch) {
    if (node.equals(settings.node())) {
      ownStops.accept(stopBatch);
    } else {
      effects.send(node, stopBatch);
    }
  }
}
