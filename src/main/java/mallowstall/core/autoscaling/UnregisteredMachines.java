package mallowstall.core.autoscaling;

import java.util.Map;
import mallowstall.core.autoscaling.PendingMachines.PendingMachine;
import mallowstall.core.cluster.MachineTypeCatalog;
import mallowstall.core.model.CoreSettings;
import mallowstall.core.model.ListedMachine;
import mallowstall.core.model.MachineType;

/** Counts the machines that haven't registered yet, and finds overdue ones to be returned. */
public final class UnregisteredMachines {
  /** Multiple of the usual boot time after which a machine is assumed never to boot. */
  private static final double BOOT_TIMEOUT_FACTOR = 4.0;

  /**
   * Multiple of the usual boot time after which a machine is late (protocol, Cloud): it may still
   * boot, but a job that fits nowhere else doesn't wait for it any longer.
   */
  private static final double LATE_BOOT_FACTOR = 1.5;

  /** Minimum boot timeout in seconds, however short the boot time of the type is. */
  private static final double BOOT_TIMEOUT_MIN_S = 60;

  /** Boot timeout in seconds of a machine of an unknown type. */
  private static final double BOOT_TIMEOUT_UNKNOWN_TYPE_S = 120;

  private final CoreSettings settings;
  private final MachineTypeCatalog types;
  private final CloudInventory cloudInventory;
  private final ScaleIn scaleIn;
  private final PendingMachines pendingMachines;

  /** Creates a counter that adds listed machines to the pending ones and removes overdue ones. */
  public UnregisteredMachines(
      CoreSettings settings,
      MachineTypeCatalog types,
      CloudInventory cloudInventory,
      ScaleIn scaleIn,
      PendingMachines pendingMachines) {
    this.settings = settings;
    this.types = types;
    this.cloudInventory = cloudInventory;
    this.scaleIn = scaleIn;
    this.pendingMachines = pendingMachines;
  }

  /**
   * Counts listed and pending machines. The caller must have counted registered machines before.
   */
  void count(MachineCensus census, long now) {
    countListed(census, now);
    countPending(census, now);
  }

  /**
   * Adds each listed machine that has never registered to the pending machines if it may be
   * booting, or to the machines to be returned if it has failed or is overdue.
   */
  private void countListed(MachineCensus census, long now) {
    for (ListedMachine listed : cloudInventory.machines()) {
      String id = listed.id();
      if (census.isRegistered(id)
          || scaleIn.isReturnInFlight(id)
          || scaleIn.wasReturnedRecently(id, now)) {
        continue;
      }
      MachineType type = types.find(listed.type());
      double ageS = listed.ageS() + (now - cloudInventory.readAtMs()) / 1000.0;
      if (listed.state().equals("failed") || (type != null && ageS > bootTimeoutS(type))) {
        census.addToReturn(id);
      } else {
        long providedAtMs = now - (long) (ageS * 1000);
        pendingMachines.addListed(
            id, new PendingMachine(listed.type(), listed.zone(), listed.spot(), providedAtMs));
      }
    }
  }

  /** Counts the pending machines except those that are overdue or missing from the inventory. */
  private void countPending(MachineCensus census, long now) {
    long inventoryLagMs = settings.inventoryLagMs();
    for (Map.Entry<String, PendingMachine> entry : pendingMachines.snapshot()) {
      String id = entry.getKey();
      PendingMachine pending = entry.getValue();
      MachineType type = types.find(pending.type());
      double timeoutS = type == null ? BOOT_TIMEOUT_UNKNOWN_TYPE_S : bootTimeoutS(type);
      boolean unlisted =
          now - pending.providedAtMs() > 4 * inventoryLagMs
              && cloudInventory.readAtMs() > pending.providedAtMs() + 3 * inventoryLagMs
              && !cloudInventory.contains(id);
      if (now - pending.providedAtMs() > timeoutS * 1000 || unlisted) {
        pendingMachines.remove(id);
        census.addToReturn(id);
      } else {
        countExpected(census, pending, type, now);
      }
    }
  }

  private static void countExpected(
      MachineCensus census, PendingMachine pending, MachineType type, long now) {
    MachineKind kind = new MachineKind(pending.type(), pending.zone(), pending.spot());
    double ageS = (now - pending.providedAtMs()) / 1000.0;
    if (type != null && ageS <= LATE_BOOT_FACTOR * type.bootS()) {
      census.addStarting(kind);
    } else {
      census.addExpected(kind);
    }
  }

  /** Returns the time in seconds after which an unregistered machine is assumed never to boot. */
  private static double bootTimeoutS(MachineType type) {
    return Math.max(BOOT_TIMEOUT_MIN_S, BOOT_TIMEOUT_FACTOR * type.bootS());
  }
}
