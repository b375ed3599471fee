package mallowstall.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import mallowstall.core.model.MachineType;
import mallowstall.core.model.ScaleOutRequest;

/** What the simulated cloud offers, and what was requested of it by all controllers together. */
final class CloudState {
  /** The type of all machines unless a test offers others. */
  static final MachineType DEFAULT_TYPE =
      new MachineType("t8", 8, 0, 32, 20, 1, 1.0, 0.3, 8, List.of("a", "b"));

  /** The machine types that the cloud offers. */
  List<MachineType> offeredTypes = List.of(DEFAULT_TYPE);

  /** The status with which the cloud refuses a request for machines, or 0 if it grants it. */
  ToIntFunction<ScaleOutRequest> refusal = request -> 0;

  /** The requests for machines that have reached the cloud, in this order. */
  final List<ScaleOutRequest> requests = new ArrayList<>();

  /** The machines rented by each request that was granted, by the name of the request. */
  final Map<String, List<String>> machinesByRequest = new HashMap<>();

  /**
   * Returns the status with which the cloud refuses the request, or 0 if it grants it. A type that
   * isn't offered in the zone is malformed.
   */
  int refusalOf(ScaleOutRequest request) {
    for (MachineType type : offeredTypes) {
      if (type.name().equals(request.type()) && type.zones().contains(request.zone())) {
        return refusal.applyAsInt(request);
      }
    }
    return 400;
  }

  /** Returns the number of machines that were ever rented. */
  int rentedMachines() {
    return machinesByRequest.values().stream().mapToInt(List::size).sum();
  }

  /** Returns the number of processors of a machine of this type. */
  double cpusOf(String typeName) {
    return typeOf(typeName).cpus();
  }

  /** Returns the rate at which machines of this type fetch images, in gigabytes per second. */
  double fetchRateOf(String typeName) {
    return typeOf(typeName).fetchGbPerS();
  }

  private MachineType typeOf(String typeName) {
    for (MachineType type : offeredTypes) {
      if (type.name().equals(typeName)) {
        return type;
      }
    }
    return DEFAULT_TYPE;
  }
}
