package mallowstall.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleBinaryOperator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import mallowstall.core.Policy;
import mallowstall.core.Policy.Facts;
import mallowstall.policy.Expr.Type;
import mallowstall.policy.Lexer.Kind;
import mallowstall.policy.Lexer.Token;

/** Reads and checks a policy file; reports every fault it can tell apart, not only the first. */
final class Parser {
  /** Ends the reading of one part; its fault is already noted. */
  private static final class Stop extends RuntimeException {
    private static final long serialVersionUID = 1;

    Stop() {
      super(null, null, false, false);
    }
  }

  /** A block whose expressions are compiled. */
  private record Compiled(
      Expr workersExpr, Expr invalidateExpr, Policy.Strategy strategy, Expr scoreExpr)
      implements Policy.Block {
    @Override
    public boolean workers(Facts facts) {
      return workersExpr.bool.test(facts);
    }

    @Override
    public boolean invalidate(Facts facts) {
      return invalidateExpr.bool.test(facts);
    }

    @Override
    public double score(Facts facts) {
      if (scoreExpr == null) {
        return 0;
      }
      double d = scoreExpr.number.applyAsDouble(facts);
      return Double.isNaN(d) ? Double.MAX_VALUE : d;
    }
  }

  /** The policy of one class of jobs. */
  private record Named(String name, List<Policy.Block> blocks) implements Policy {}

  private static final int DEEPEST = 60;

  private final List<Token> tokens;
  private final List<Fault> faults;
  private final Map<String, Policy> classes = new LinkedHashMap<>();
  private int at;
  private int depth;

  private Parser(List<Token> tokens, List<Fault> faults) {
    this.tokens = tokens;
    this.faults = faults;
  }

  /** Policies by class name; meaningful only if no fault is an error. */
  static Map<String, Policy> parse(String s, List<Fault> faults) {
    Parser p = new Parser(Lexer.split(s, faults), faults);
    p.file();
    return p.classes;
  }

  private Token look() {
    return tokens.get(at);
  }

  private Token next() {
    Token token = tokens.get(at);
    if (token.kind() != Kind.END) {
      at++;
    }
    return token;
  }

  private void fault(Token token, String m) {
    faults.add(new Fault(token.line(), token.column(), true, m));
  }

  private Stop stop(Token token, String m) {
    fault(token, m);
    return new Stop();
  }

  private void expect(String sign) {
    Token token = look();
    if (!token.is(sign)) {
      throw stop(token, "expected '" + sign + "' but found " + token);
    }
    next();
  }

  // ---- structure ----------------------------------------------------------------------------
  private void file() {
    while (look().kind() != Kind.END) {
      Token token = look();
      try {
        if (!token.is("class")) {
          throw stop(token, "expected 'class' but found " + token);
        }
        next();
        policy();
      } catch (Stop e) {
        skipTo("class");
      }
    }
    if (!classes.containsKey("default")) {
      fault(look(), "there is no class 'default', which every other class falls back to");
    }
  }

  /** Goes on behind a fault, at the next place where reading makes sense again. */
  private void skipTo(String word) {
    while (look().kind() != Kind.END && !look().is(word)) {
      next();
    }
  }

  private void policy() {
    Token name = next();
    if (name.kind() != Kind.NAME && name.kind() != Kind.TEXT) {
      throw stop(name, "expected the name of a class");
    }
    if (classes.containsKey(name.text())) {
      fault(name, "class '" + name.text() + "' is defined twice");
    }
    expect("{");
    List<Policy.Block> blocks = new ArrayList<>();
    int begun = 0;
    while (!look().is("}")) {
      Token token = look();
      if (token.kind() == Kind.END || token.is("class")) {
        throw stop(token, "class '" + name.text() + "' has no closing '}'");
      }
      int from = at;
      begun++;
      try {
        if (!token.is("block")) {
          throw stop(token, "expected 'block' or '}' but found " + token);
        }
        next();
        Policy.Block policyBlock = block(token);
        if (policyBlock != null) {
          blocks.add(policyBlock);
        }
      } catch (Stop e) {
        skipBlock(from);
      }
    }
    next();
    if (begun == 0) {
      fault(name, "class '" + name.text() + "' has no block");
    }
    classes.put(name.text(), new Named(name.text(), List.copyOf(blocks)));
  }

  /** Goes on behind the block that begins at {@code from}, or where the next one begins. */
  private void skipBlock(int from) {
    int open = 0;
    for (int i = from; i < tokens.size() && !tokens.get(i).is("class"); i++) {
      if (i > from && tokens.get(i).is("block")) {
        break;
      }
      if (tokens.get(i).is("{")) {
        open++;
      }
      if (tokens.get(i).is("}") && --open == 0) {
        at = i + 1;
        return;
      }
    }
    do {
      next();
    } while (look().kind() != Kind.END && !look().is("block") && !look().is("class"));
  }

  private Policy.Block block(Token start) {
    expect("{");
    Map<String, Token> seen = new HashMap<>();
    Expr workers = Expr.bool(facts -> true, true);
    Expr invalidate = Expr.bool(pair -> false, true);
    Expr score = null;
    Policy.Strategy strategy = Policy.Strategy.RANDOM;
    while (!look().is("}")) {
      Token token = next();
      if (token.kind() == Kind.END) {
        throw stop(token, "this block has no closing '}'");
      }
      if (token.kind() != Kind.NAME
          || !(token.is("workers") || token.is("strategy") || token.is("invalidate"))) {
        throw stop(token, "expected workers, strategy, invalidate or '}' but found " + token);
      }
      if (seen.put(token.text(), token) != null) {
        fault(token, token.text() + " stands twice in this block");
      }
      expect(":");
      Token from = look();
      switch (token.text()) {
        case "workers" -> workers = condition(from, "workers", false);
        case "invalidate" -> invalidate = condition(from, "invalidate", true);
        default -> {
          Token kind = next();
          strategy = strategy(kind);
          if (strategy != Policy.Strategy.RANDOM) {
            score = score(kind);
          }
        }
      }
    }
    next();
    if (!seen.containsKey("strategy")) {
      fault(start, "this block has no strategy");
    }
    return new Compiled(workers, invalidate, strategy, score);
  }

  /** A condition of a block, which never matches if this one is constantly so. */
  private Expr condition(Token from, String name, boolean never) {
    Expr condition = typed(from, expression(), Type.BOOL, name);
    if (condition.constant && condition.bool.test(new Facts()) == never) {
      warn(from, "this block can never match: " + name + " is always " + never);
    }
    return condition;
  }

  private Policy.Strategy strategy(Token kind) {
    return switch (kind.text()) {
      case "random" -> Policy.Strategy.RANDOM;
      case "lowest" -> Policy.Strategy.LOWEST;
      case "highest" -> Policy.Strategy.HIGHEST;
      default -> throw stop(kind, "expected lowest, highest or random but found " + kind);
    };
  }

  private Expr score(Token kind) {
    Token from = look();
    Expr score = expression();
    if (!score.type.numeric()) {
      throw stop(from, kind.text() + " needs a number but this is " + score.type.words);
    }
    return score;
  }

  private void warn(Token token, String m) {
    faults.add(new Fault(token.line(), token.column(), false, m));
  }

  private Expr typed(Token token, Expr expression, Type wanted, String what) {
    if (expression.type != wanted) {
      throw stop(token, what + " needs " + wanted.words + " but this is " + expression.type.words);
    }
    return expression;
  }

  // ---- expressions --------------------------------------------------------------------------
  private Expr expression() {
    if (++depth > DEEPEST) {
      throw stop(look(), "this expression is nested too deeply");
    }
    try {
      return or();
    } finally {
      depth--;
    }
  }

  private Expr or() {
    Token from = look();
    Expr left = and();
    while (look().is("or")) {
      next();
      Token token = look();
      Predicate<Facts> first = typed(from, left, Type.BOOL, "or").bool;
      Expr right = typed(token, and(), Type.BOOL, "or");
      Predicate<Facts> second = right.bool;
      left =
          Expr.bool(
              facts -> first.test(facts) || second.test(facts), left.constant && right.constant);
    }
    return left;
  }

  private Expr and() {
    Token from = look();
    Map<String, String> equal = new HashMap<>();
    Expr left = comparison(equal);
    while (look().is("and")) {
      next();
      Token token = look();
      Predicate<Facts> first = typed(from, left, Type.BOOL, "and").bool;
      Expr right = typed(token, comparison(equal), Type.BOOL, "and");
      Predicate<Facts> second = right.bool;
      left =
          Expr.bool(
              facts -> first.test(facts) && second.test(facts), left.constant && right.constant);
    }
    return left;
  }

  /**
   * {@code equal} collects what texts must equal within one conjunction, to find contradictions.
   */
  private Expr comparison(Map<String, String> equal) {
    Token from = look();
    if (from.is("not")) {
      return negation();
    }
    Expr first = sum();
    Token op = look();
    if (!(op.is("<") || op.is("<=") || op.is(">") || op.is(">=") || op.is("==") || op.is("!="))) {
      return first;
    }
    next();
    Token to = look();
    Expr right = sum();
    if (first.type != right.type) {
      throw stop(
          op, "'" + op.text() + "' compares " + first.type.words + " with " + right.type.words);
    }
    if (first.type != Type.TEXT && first.type != Type.BOOL) {
      return numbers(op, first, right);
    }
    if (!op.is("==") && !op.is("!=")) {
      throw stop(op, "'" + op.text() + "' can't compare " + first.type.words);
    }
    if (op.is("==") && from.kind() == Kind.NAME && to.kind() == Kind.TEXT) {
      String before = equal.put(from.text(), to.text());
      if (before != null && !before.equals(to.text())) {
        warn(op, "this can never hold: " + from.text() + " is also to be \"" + before + "\"");
      }
    }
    return equality(first, right, op.is("=="));
  }

  private Expr negation() {
    next();
    Token from = look();
    if (++depth > DEEPEST) {
      throw stop(from, "this expression is nested too deeply");
    }
    Expr inner = typed(from, comparison(new HashMap<>()), Type.BOOL, "not");
    depth--;
    Predicate<Facts> condition = inner.bool;
    return Expr.bool(facts -> !condition.test(facts), inner.constant);
  }

  private static Expr equality(Expr left, Expr right, boolean same) {
    boolean constant = left.constant && right.constant;
    if (left.type == Type.BOOL) {
      Predicate<Facts> x = left.bool;
      Predicate<Facts> y = right.bool;
      return Expr.bool(f -> (x.test(f) == y.test(f)) == same, constant);
    }
    Expr.TextOf x = left.text;
    Expr.TextOf y = right.text;
    return Expr.bool(f -> Objects.equals(x.of(f), y.of(f)) == same, constant);
  }

  private static Expr numbers(Token op, Expr left, Expr right) {
    boolean constant = left.constant && right.constant;
    ToDoubleFunction<Facts> x = left.number;
    ToDoubleFunction<Facts> y = right.number;
    return switch (op.text()) {
      case "<" -> Expr.bool(f -> x.applyAsDouble(f) < y.applyAsDouble(f), constant);
      case "<=" -> Expr.bool(f -> x.applyAsDouble(f) <= y.applyAsDouble(f), constant);
      case ">" -> Expr.bool(f -> x.applyAsDouble(f) > y.applyAsDouble(f), constant);
      case ">=" -> Expr.bool(f -> x.applyAsDouble(f) >= y.applyAsDouble(f), constant);
      case "==" -> Expr.bool(f -> x.applyAsDouble(f) == y.applyAsDouble(f), constant);
      default -> Expr.bool(f -> x.applyAsDouble(f) != y.applyAsDouble(f), constant);
    };
  }

  private Expr sum() {
    Expr left = product();
    while (look().is("+") || look().is("-")) {
      Token op = next();
      Expr right = product();
      if (!left.type.numeric() || left.type != right.type || left.type == Type.PRIORITY) {
        throw stop(
            op, "'" + op.text() + "' can't join " + left.type.words + " and " + right.type.words);
      }
      left = join(left.type, left, right, op.is("+") ? (x, y) -> x + y : (x, y) -> x - y);
    }
    return left;
  }

  private static Expr join(Type t, Expr left, Expr right, DoubleBinaryOperator op) {
    ToDoubleFunction<Facts> first = left.number;
    ToDoubleFunction<Facts> second = right.number;
    return Expr.number(
        t,
        facts -> op.applyAsDouble(first.applyAsDouble(facts), second.applyAsDouble(facts)),
        left.constant && right.constant);
  }

  private Expr product() {
    Expr left = unit();
    while (look().is("*") || look().is("/")) {
      Token op = next();
      Expr right = unit();
      boolean ok =
          left.type.numeric()
              && right.type.numeric()
              && left.type != Type.PRIORITY
              && right.type != Type.PRIORITY;
      Type t = null;
      if (ok && right.type == Type.NUMBER) {
        t = left.type;
      } else if (ok && op.is("*") && left.type == Type.NUMBER) {
        t = right.type;
      } else if (ok && op.is("/") && left.type == right.type) {
        t = Type.NUMBER;
      }
      if (t == null) {
        throw stop(
            op, "'" + op.text() + "' can't join " + left.type.words + " and " + right.type.words);
      }
      left = join(t, left, right, op.is("*") ? (x, y) -> x * y : (x, y) -> x / y);
    }
    return left;
  }

  private Expr unit() {
    Token token = next();
    if (token.is("(")) {
      Expr inner = expression();
      expect(")");
      return inner;
    }
    if (token.is("-")) {
      if (++depth > DEEPEST) {
        throw stop(token, "this expression is nested too deeply");
      }
      Expr e = unit();
      depth--;
      if (!e.type.numeric() || e.type == Type.PRIORITY) {
        throw stop(token, "'-' needs a number but this is " + e.type.words);
      }
      ToDoubleFunction<Facts> left = e.number;
      return Expr.number(e.type, facts -> -left.applyAsDouble(facts), e.constant);
    }
    if (token.kind() == Kind.TEXT) {
      String s = token.text();
      return Expr.text(pair -> s, true);
    }
    if (token.kind() == Kind.NUMBER) {
      return literal(token);
    }
    if (token.kind() != Kind.NAME) {
      throw stop(token, "expected a value but found " + token);
    }
    if (token.is("if") || token.is("min") || token.is("max")) {
      return function(token);
    }
    Expr v = Expr.variable(token.text());
    if (v == null) {
      throw stop(token, "unknown name '" + token.text() + "'");
    }
    return v;
  }

  private Expr literal(Token token) {
    double v = token.value();
    return switch (token.unit()) {
      case "" -> Expr.number(Type.NUMBER, facts -> v, true);
      case "s" -> Expr.number(Type.SECONDS, pair -> v, true);
      case "ms" -> Expr.number(Type.SECONDS, f -> v / 1000, true);
      case "min" -> Expr.number(Type.SECONDS, f -> v * 60, true);
      case "GB" -> Expr.number(Type.GIGABYTES, f -> v, true);
      case "cpus" -> Expr.number(Type.CPUS, f -> v, true);
      default ->
          throw stop(token, "unknown unit '" + token.unit() + "': expected ms, s, min, GB or cpus");
    };
  }

  private Expr function(Token name) {
    expect("(");
    Expr c = null;
    if (name.is("if")) {
      Token token = look();
      c = typed(token, expression(), Type.BOOL, "the condition of if");
      expect(",");
    }
    Expr left = expression();
    expect(",");
    Token t = look();
    Expr right = expression();
    expect(")");
    if (left.type != right.type || !left.type.numeric()) {
      throw stop(
          t,
          name.text()
              + " needs two numbers of one kind, not "
              + left.type.words
              + " and "
              + right.type.words);
    }
    if (c != null) {
      Predicate<Facts> p = c.bool;
      ToDoubleFunction<Facts> first = left.number;
      ToDoubleFunction<Facts> second = right.number;
      return Expr.number(
          left.type,
          facts -> p.test(facts) ? first.applyAsDouble(facts) : second.applyAsDouble(facts),
          c.constant && left.constant && right.constant);
    }
    return join(left.type, left, right, name.is("min") ? Math::min : Math::max);
  }
}
