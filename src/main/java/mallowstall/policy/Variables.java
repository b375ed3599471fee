package mallowstall.policy;

import static mallowstall.policy.Expression.fact;
import static mallowstall.policy.Expression.literal;
import static mallowstall.policy.Expression.textFact;

import java.util.Optional;

/** The names that expressions can use: facts and named constants (docs/policies.md). */
final class Variables {
  private Variables() {}

  /** Returns the expression of a name, or empty if the language doesn't define the name. */
  static Optional<Expression> lookup(String name) {
    return Optional.ofNullable(
        switch (name) {
          case "machine.zone" -> textFact(facts -> facts.zone);
          case "machine.type" -> textFact(facts -> facts.type);
          case "machine.spot" -> fact(facts -> facts.spot);
          case "machine.own" -> fact(facts -> facts.locallyManaged);
          case "machine.image" -> fact(facts -> facts.imagePresent);
          case "machine.scarce" -> fact(facts -> facts.scarceType);
          case "machine.reserved" -> fact(facts -> facts.reservedForUrgent);
          case "machine.free_cpus" -> fact(ValueType.CPUS, facts -> facts.freeCpus);
          case "machine.free_gpus" -> fact(ValueType.NUMBER, facts -> facts.freeGpus);
          case "machine.free_memory" -> fact(ValueType.GIGABYTES, facts -> facts.freeMemoryGb);
          case "machine.used" -> fact(ValueType.NUMBER, facts -> facts.cpuUtilization);
          case "machine.fetch" -> fact(ValueType.SECONDS, facts -> facts.fetchS);
          case "machine.fetches" -> fact(ValueType.NUMBER, facts -> facts.imageFetches);
          case "machine.price" -> fact(ValueType.NUMBER, facts -> facts.price);
          case "machine.other_drain" -> fact(ValueType.SECONDS, facts -> facts.otherDrainS);
          case "task.cpus" -> fact(ValueType.CPUS, facts -> facts.taskCpus);
          case "task.gpus" -> fact(ValueType.NUMBER, facts -> facts.taskGpus);
          case "task.memory" -> fact(ValueType.GIGABYTES, facts -> facts.taskMemoryGb);
          case "task.estimate" -> fact(ValueType.SECONDS, facts -> facts.estimateS);
          case "job.priority" -> fact(ValueType.PRIORITY, facts -> facts.priority);
          case "job.waited" -> fact(ValueType.SECONDS, facts -> facts.waitedS);
          case "job.slack" -> fact(ValueType.SECONDS, facts -> facts.slackS);
          case "job.service" -> fact(facts -> facts.service);
          case "job.pending" -> fact(ValueType.NUMBER, facts -> facts.pendingTasks);
          case "image.drain" -> fact(ValueType.SECONDS, facts -> facts.drainS);
          case "true" -> literal(true);
          case "false" -> literal(false);
          case "low" -> literal(ValueType.PRIORITY, 0);
          case "normal" -> literal(ValueType.PRIORITY, 1);
          case "high" -> literal(ValueType.PRIORITY, 2);
          case "production" -> literal(ValueType.PRIORITY, 3);
          default -> null;
        });
  }
}
