package mallowstall.policy;

import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import mallowstall.core.placement.Policy.Facts;

/**
 * A typed expression, compiled to closures over {@link Facts}. It holds no loops and no recursion,
 * so it ends; it works on doubles and booleans, so evaluation neither throws nor allocates.
 */
sealed interface Expression {
  /** Type and unit of the value. */
  ValueType type();

  /** Whether no fact is read, so that the value is the same everywhere. */
  boolean constant();

  /** An expression that is true or false. */
  record BooleanExpression(Predicate<Facts> value, boolean constant) implements Expression {
    @Override
    public ValueType type() {
      return ValueType.BOOLEAN;
    }
  }

  /** An expression that is a number of some unit. */
  record NumberExpression(ValueType type, ToDoubleFunction<Facts> value, boolean constant)
      implements Expression {}

  /** An expression that is a text. */
  record TextExpression(TextFunction value, boolean constant) implements Expression {
    @Override
    public ValueType type() {
      return ValueType.TEXT;
    }
  }

  /** Reads a text from the facts. */
  interface TextFunction {
    /** The text; null when the fact is unknown. */
    String apply(Facts facts);
  }

  /** A condition that reads facts. */
  static Expression fact(Predicate<Facts> value) {
    return new BooleanExpression(value, false);
  }

  /** A number that reads facts. */
  static Expression fact(ValueType type, ToDoubleFunction<Facts> value) {
    return new NumberExpression(type, value, false);
  }

  /** A text that reads facts. */
  static Expression textFact(TextFunction value) {
    return new TextExpression(value, false);
  }

  /** A condition that is always true or always false. */
  static BooleanExpression literal(boolean value) {
    return new BooleanExpression(facts -> value, true);
  }

  /** A number that is always the same. */
  static NumberExpression literal(ValueType type, double value) {
    return new NumberExpression(type, facts -> value, true);
  }

  /** A text that is always the same. */
  static TextExpression literal(String value) {
    return new TextExpression(facts -> value, true);
  }
}
