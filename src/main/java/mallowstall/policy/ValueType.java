package mallowstall.policy;

/** Types of expressions with their units: only like is compared with or added to like. */
enum ValueType {
  BOOLEAN("true or false"),
  TEXT("text"),
  NUMBER("a plain number"),
  SECONDS("a time"),
  GIGABYTES("an amount of memory"),
  CPUS("a number of cpus"),
  PRIORITY("a priority");

  private final String description;

  ValueType(String description) {
    this.description = description;
  }

  /** The type as messages name it. */
  String description() {
    return description;
  }

  /** Whether values are numbers; priorities are, but only for comparisons and scores. */
  boolean isNumeric() {
    return this != BOOLEAN && this != TEXT;
  }

  /** Whether values can be added and multiplied. */
  boolean isArithmetic() {
    return isNumeric() && this != PRIORITY;
  }
}
