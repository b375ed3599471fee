package mallowstall.policy;

import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import mallowstall.core.Policy.Facts;

/**
 * A typed expression, compiled to closures over {@link Facts}. It holds no loops and no recursion,
 * so it ends; it works on doubles and booleans, so it neither throws nor allocates.
 */
final class Expr {
  /** Types with their units: only like is compared with like. */
  enum Type {
    BOOL("true or false"),
    TEXT("text"),
    NUMBER("a plain number"),
    SECONDS("a time"),
    GIGABYTES("an amount of memory"),
    CPUS("a number of cpus"),
    PRIORITY("a priority");

    final String words;

    Type(String words) {
      this.words = words;
    }

    boolean numeric() {
      return this != BOOL && this != TEXT;
    }
  }

  /** Reads a text; null when the fact is unknown. */
  interface TextOf {
    String of(Facts facts);
  }

  final Type type;
  final ToDoubleFunction<Facts> number;
  final Predicate<Facts> bool;
  final TextOf text;

  /** Whether no fact is read, so that the value is the same everywhere. */
  final boolean constant;

  private Expr(
      Type type,
      ToDoubleFunction<Facts> number,
      Predicate<Facts> bool,
      TextOf text,
      boolean constant) {
    this.type = type;
    this.number = number;
    this.bool = bool;
    this.text = text;
    this.constant = constant;
  }

  static Expr number(Type t, ToDoubleFunction<Facts> f, boolean constant) {
    return new Expr(t, f, null, null, constant);
  }

  static Expr bool(Predicate<Facts> f, boolean constant) {
    return new Expr(Type.BOOL, null, f, null, constant);
  }

  static Expr text(TextOf f, boolean constant) {
    return new Expr(Type.TEXT, null, null, f, constant);
  }

  /** The variables of the language. */
  static Expr variable(String name) {
    return switch (name) {
      case "machine.zone" -> text(facts -> facts.zone, false);
      case "machine.type" -> text(pair -> pair.type, false);
      case "machine.spot" -> bool(f -> f.spot, false);
      case "machine.own" -> bool(f -> f.own, false);
      case "machine.image" -> bool(f -> f.imagePresent, false);
      case "machine.scarce" -> bool(f -> f.scarce, false);
      case "machine.reserved" -> bool(f -> f.reserved, false);
      case "machine.free_cpus" -> number(Type.CPUS, f -> f.freeCpus, false);
      case "machine.free_gpus" -> number(Type.NUMBER, f -> f.freeGpus, false);
      case "machine.free_memory" -> number(Type.GIGABYTES, f -> f.freeMemory, false);
      case "machine.used" -> number(Type.NUMBER, f -> f.used, false);
      case "machine.fetch" -> number(Type.SECONDS, f -> f.fetchS, false);
      case "machine.fetches" -> number(Type.NUMBER, f -> f.fetches, false);
      case "machine.price" -> number(Type.NUMBER, f -> f.price, false);
      case "machine.other_drain" -> number(Type.SECONDS, f -> f.otherDrainS, false);
      case "task.cpus" -> number(Type.CPUS, f -> f.taskCpus, false);
      case "task.gpus" -> number(Type.NUMBER, f -> f.taskGpus, false);
      case "task.memory" -> number(Type.GIGABYTES, f -> f.taskMemory, false);
      case "task.estimate" -> number(Type.SECONDS, f -> f.estimateS, false);
      case "job.priority" -> number(Type.PRIORITY, f -> f.priority, false);
      case "job.waited" -> number(Type.SECONDS, f -> f.waitedS, false);
      case "job.slack" -> number(Type.SECONDS, f -> f.slackS, false);
      case "job.service" -> bool(f -> f.service, false);
      case "job.pending" -> number(Type.NUMBER, f -> f.pending, false);
      case "image.drain" -> number(Type.SECONDS, f -> f.drainS, false);
      case "true" -> bool(f -> true, true);
      case "false" -> bool(f -> false, true);
      case "low" -> number(Type.PRIORITY, f -> 0, true);
      case "normal" -> number(Type.PRIORITY, f -> 1, true);
      case "high" -> number(Type.PRIORITY, f -> 2, true);
      case "production" -> number(Type.PRIORITY, f -> 3, true);
      default -> null;
    };
  }
}
