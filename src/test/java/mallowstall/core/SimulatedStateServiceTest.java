package mallowstall.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import mallowstall.core.kernel.Condition;
import mallowstall.core.kernel.PutOperation;
import mallowstall.core.kernel.ResultCode;
import mallowstall.core.kernel.Transaction;
import mallowstall.core.model.CompletionBitsEntry;
import mallowstall.core.model.IncarnationCounterEntry;
import org.junit.jupiter.api.Test;

/** Shows that the simulated state service enforces the limits that other tests rely on. */
class SimulatedStateServiceTest {
  private static Transaction counterTransaction(int count, long value) {
    List<PutOperation> puts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      puts.add(new PutOperation("c/x/" + i, new IncarnationCounterEntry(value), 0));
    }
    return new Transaction(List.of(), puts, List.of());
  }

  private static Transaction bitmapTransaction(int bytes) {
    PutOperation put =
        new PutOperation("c/b/wk-000001/p0", new CompletionBitsEntry(new byte[bytes]), 0);
    return new Transaction(List.of(), List.of(put), List.of());
  }

  @Test
  void simulatedStateServiceEnforcesLimits() {
    Simulation sim = new Simulation(300);
    sim.runUntil(100);
    assertEquals(
        ResultCode.OK,
        sim.stateService.transact(counterTransaction(200, 1)).code(),
        "without limits");
    assertEquals(
        ResultCode.OK,
        sim.stateService.transact(bitmapTransaction(9_000)).code(),
        "without limits");
    sim.stateService.setLimits(StateLimitsTest.LIMITS_AFTER);
    long revision = sim.stateService.revision;
    // the encoding is {"done":""} plus four characters for every three bytes
    assertEquals(2_047, Simulation.encodedSize(bitmapTransaction(1_527).puts().get(0).value()));
    assertEquals(2_051, Simulation.encodedSize(bitmapTransaction(1_530).puts().get(0).value()));
    assertEquals(ResultCode.INVALID, sim.stateService.transact(bitmapTransaction(1_530)).code());
    assertEquals(ResultCode.INVALID, sim.stateService.transact(counterTransaction(9, 2)).code());
    List<Condition> conditions = new ArrayList<>();
    for (int i = 0; i < 33; i++) {
      conditions.add(new Condition("c/y/" + i, 0));
    }
    Transaction manyConditions =
        new Transaction(conditions, counterTransaction(1, 2).puts(), List.of());
    assertEquals(ResultCode.INVALID, sim.stateService.transact(manyConditions).code());
    assertEquals(revision, sim.stateService.revision, "rejected transactions change nothing");
    assertEquals(3, sim.faultCounts.get(StateLimitsTest.TOO_LARGE));
    assertEquals(ResultCode.OK, sim.stateService.transact(bitmapTransaction(1_527)).code());
    for (int i = 0; i < 4; i++) {
      assertEquals(ResultCode.OK, sim.stateService.transact(counterTransaction(8, 3)).code());
    }
    assertEquals(
        ResultCode.REJECTED,
        sim.stateService.transact(counterTransaction(8, 4)).code(),
        "at most 40 changes in a second");
    assertEquals(1, sim.faultCounts.get(StateLimitsTest.TOO_MANY));
    sim.nowMs += 100; // at 40 changes a second this allows four more
    assertEquals(ResultCode.OK, sim.stateService.transact(counterTransaction(4, 5)).code());
    assertEquals(ResultCode.REJECTED, sim.stateService.transact(counterTransaction(8, 6)).code());
    assertEquals(
        9_000,
        ((CompletionBitsEntry) bitmapTransaction(9_000).puts().get(0).value()).bits().length);
  }
}
