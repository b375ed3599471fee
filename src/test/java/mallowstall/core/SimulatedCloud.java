package mallowstall.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import mallowstall.Constants;
import mallowstall.core.kernel.InventoryPage;
import mallowstall.core.kernel.ScaleOutResult;
import mallowstall.core.model.ListedMachine;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.ScaleOutRequest;

/** The interface of one controller to the simulated cloud. */
final class SimulatedCloud {
  private final Simulation simulation;
  private final SimulatedController node;

  SimulatedCloud(Simulation simulation, SimulatedController node) {
    this.simulation = simulation;
    this.node = node;
  }

  void fetchMachineTypes(Consumer<List<MachineType>> then) {
    node.scheduleReply(20, () -> then.accept(simulation.cloudState.offeredTypes));
  }

  void scaleOut(ScaleOutRequest request, Consumer<ScaleOutResult> then) {
    node.scheduleReply(
        30,
        () -> {
          simulation.cloudState.requests.add(request);
          int refusal = simulation.cloudState.refusalOf(request);
          if (refusal != 0) {
            then.accept(new ScaleOutResult(refusal, List.of()));
            return;
          }
          List<String> machines = simulation.cloudState.machinesByRequest.get(request.name());
          if (machines == null) {
            machines = new ArrayList<>();
            while (machines.size() < request.count()
                && simulation.workers.size() < simulation.maxMachines) {
              machines.add(
                  simulation.addMachine(
                      request.type(),
                      request.zone(),
                      request.spot(),
                      2_000 + simulation.random.nextInt(6_000)));
            }
            if (!machines.isEmpty()) {
              simulation.cloudState.machinesByRequest.put(request.name(), machines);
            }
          }
          then.accept(new ScaleOutResult(machines.isEmpty() ? 503 : 200, machines));
        });
  }

  void scaleIn(List<String> machines, Consumer<Boolean> then) {
    if (machines.size() > Constants.SCALE_IN_MACHINES_MAX) { // the maximum that the protocol allows
      node.scheduleReply(30, () -> then.accept(false));
      return;
    }
    for (String machine : machines) {
      simulation.killMachine(machine);
    }
    node.scheduleReply(30, () -> then.accept(true));
  }

  void listMachines(String after, Consumer<InventoryPage> then) {
    List<ListedMachine> out = new ArrayList<>();
    for (SimulatedWorker worker : simulation.workers.values()) {
      out.add(
          new ListedMachine(
              worker.id,
              worker.type,
              worker.zone,
              worker.spot,
              "running",
              (simulation.nowMs - worker.createdAtMs) / 1000.0));
    }
    simulation.schedule(2_000, () -> {});
    node.scheduleReply(2_000, () -> then.accept(new InventoryPage(true, out, false)));
  }
}
