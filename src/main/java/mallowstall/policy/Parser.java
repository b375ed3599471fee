package mallowstall.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

  private record Compiled(
      Expr workersExpr, Expr invalidateExpr, Policy.Strategy strategy, Expr scoreExpr)
      implements Policy.Block {
    @Override
    public boolean workers(Facts f) {
      return workersExpr.bool.test(f);
    }

    @Override
    public boolean invalidate(Facts f) {
      return invalidateExpr.bool.test(f);
    }

    @Override
    public double score(Facts f) {
      if (scoreExpr == null) {
        return 0;
      }
      double d = scoreExpr.number.applyAsDouble(f);
      return Double.isNaN(d) ? Double.MAX_VALUE : d;
    }
  }

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
    Token t = tokens.get(at);
    if (t.kind() != Kind.END) {
      at++;
    }
    return t;
  }

  private void fault(Token t, String m) {
    faults.add(new Fault(t.line(), t.column(), true, m));
  }

  private Stop stop(Token t, String m) {
    fault(t, m);
    return new Stop();
  }

  private void expect(String sign) {
    Token t = look();
    if (!t.is(sign)) {
      throw stop(t, "expected '" + sign + "' but found " + t);
    }
    next();
  }

  // ---- structure ----------------------------------------------------------------------------
  private void file() {
    while (look().kind() != Kind.END) {
      Token t = look();
      try {
        if (!t.is("class")) {
          throw stop(t, "expected 'class' but found " + t);
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
      Token t = look();
      if (t.kind() == Kind.END || t.is("class")) {
        throw stop(t, "class '" + name.text() + "' has no closing '}'");
      }
      int from = at;
      begun++;
      try {
        if (!t.is("block")) {
          throw stop(t, "expected 'block' or '}' but found " + t);
        }
        next();
        Policy.Block b = block(t);
        if (b != null) {
          blocks.add(b);
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
    Expr workers = Expr.bool(f -> true, true);
    Expr invalidate = Expr.bool(f -> false, true);
    Expr score = null;
    Policy.Strategy strategy = Policy.Strategy.RANDOM;
    while (!look().is("}")) {
      Token t = next();
      if (t.kind() == Kind.END) {
        throw stop(t, "this block has no closing '}'");
      }
      if (t.kind() != Kind.NAME || !(t.is("workers") || t.is("strategy") || t.is("invalidate"))) {
        throw stop(t, "expected workers, strategy, invalidate or '}' but found " + t);
      }
      if (seen.put(t.text(), t) != null) {
        fault(t, t.text() + " stands twice in this block");
      }
      expect(":");
      Token from = look();
      switch (t.text()) {
        case "workers" -> {
          workers = typed(from, expression(), Type.BOOL, "workers");
          if (workers.constant && !workers.bool.test(new Facts())) {
            warn(from, "this block can never match: workers is always false");
          }
        }
        case "invalidate" -> {
          invalidate = typed(from, expression(), Type.BOOL, "invalidate");
          if (invalidate.constant && invalidate.bool.test(new Facts())) {
            warn(from, "this block can never match: invalidate is always true");
          }
        }
        default -> {
          Token s = next();
          switch (s.text()) {
            case "random" -> strategy = Policy.Strategy.RANDOM;
            case "lowest", "highest" -> {
              strategy = s.is("lowest") ? Policy.Strategy.LOWEST : Policy.Strategy.HIGHEST;
              Token e = look();
              score = expression();
              if (!score.type.numeric()) {
                throw stop(e, s.text() + " needs a number but this is " + score.type.words);
              }
            }
            default -> throw stop(s, "expected lowest, highest or random but found " + s);
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

  private void warn(Token t, String m) {
    faults.add(new Fault(t.line(), t.column(), false, m));
  }

  private Expr typed(Token t, Expr e, Type wanted, String what) {
    if (e.type != wanted) {
      throw stop(t, what + " needs " + wanted.words + " but this is " + e.type.words);
    }
    return e;
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
    Expr a = and();
    while (look().is("or")) {
      next();
      Token t = look();
      Predicate<Facts> x = typed(from, a, Type.BOOL, "or").bool;
      Expr b = typed(t, and(), Type.BOOL, "or");
      Predicate<Facts> y = b.bool;
      a = Expr.bool(f -> x.test(f) || y.test(f), a.constant && b.constant);
    }
    return a;
  }

  private Expr and() {
    Token from = look();
    Map<String, String> equal = new HashMap<>();
    Expr a = comparison(equal);
    while (look().is("and")) {
      next();
      Token t = look();
      Predicate<Facts> x = typed(from, a, Type.BOOL, "and").bool;
      Expr b = typed(t, comparison(equal), Type.BOOL, "and");
      Predicate<Facts> y = b.bool;
      a = Expr.bool(f -> x.test(f) && y.test(f), a.constant && b.constant);
    }
    return a;
  }

  /**
   * {@code equal} collects what texts must equal within one conjunction, to find contradictions.
   */
  private Expr comparison(Map<String, String> equal) {
    Token from = look();
    if (from.is("not")) {
      next();
      Token t = look();
      if (++depth > DEEPEST) {
        throw stop(t, "this expression is nested too deeply");
      }
      Expr e = typed(t, comparison(new HashMap<>()), Type.BOOL, "not");
      depth--;
      Predicate<Facts> x = e.bool;
      return Expr.bool(f -> !x.test(f), e.constant);
    }
    Expr a = sum();
    Token op = look();
    if (!(op.is("<") || op.is("<=") || op.is(">") || op.is(">=") || op.is("==") || op.is("!="))) {
      return a;
    }
    next();
    Token to = look();
    Expr b = sum();
    if (a.type != b.type) {
      throw stop(op, "'" + op.text() + "' compares " + a.type.words + " with " + b.type.words);
    }
    boolean constant = a.constant && b.constant;
    if (a.type == Type.TEXT || a.type == Type.BOOL) {
      if (!op.is("==") && !op.is("!=")) {
        throw stop(op, "'" + op.text() + "' can't compare " + a.type.words);
      }
      boolean same = op.is("==");
      if (a.type == Type.BOOL) {
        Predicate<Facts> x = a.bool;
        Predicate<Facts> y = b.bool;
        return Expr.bool(f -> (x.test(f) == y.test(f)) == same, constant);
      }
      if (same && from.kind() == Kind.NAME && to.kind() == Kind.TEXT) {
        String before = equal.put(from.text(), to.text());
        if (before != null && !before.equals(to.text())) {
          warn(op, "this can never hold: " + from.text() + " is also to be \"" + before + "\"");
        }
      }
      Expr.TextOf x = a.text;
      Expr.TextOf y = b.text;
      return Expr.bool(f -> java.util.Objects.equals(x.of(f), y.of(f)) == same, constant);
    }
    ToDoubleFunction<Facts> x = a.number;
    ToDoubleFunction<Facts> y = b.number;
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
    Expr a = product();
    while (look().is("+") || look().is("-")) {
      Token op = next();
      Expr b = product();
      if (!a.type.numeric() || a.type != b.type || a.type == Type.PRIORITY) {
        throw stop(op, "'" + op.text() + "' can't join " + a.type.words + " and " + b.type.words);
      }
      a = join(a.type, a, b, op.is("+") ? (x, y) -> x + y : (x, y) -> x - y);
    }
    return a;
  }

  private static Expr join(Type t, Expr a, Expr b, DoubleBinaryOperator op) {
    ToDoubleFunction<Facts> x = a.number;
    ToDoubleFunction<Facts> y = b.number;
    return Expr.number(
        t, f -> op.applyAsDouble(x.applyAsDouble(f), y.applyAsDouble(f)), a.constant && b.constant);
  }

  private Expr product() {
    Expr a = unit();
    while (look().is("*") || look().is("/")) {
      Token op = next();
      Expr b = unit();
      boolean ok =
          a.type.numeric()
              && b.type.numeric()
              && a.type != Type.PRIORITY
              && b.type != Type.PRIORITY;
      Type t = null;
      if (ok && b.type == Type.NUMBER) {
        t = a.type;
      } else if (ok && op.is("*") && a.type == Type.NUMBER) {
        t = b.type;
      } else if (ok && op.is("/") && a.type == b.type) {
        t = Type.NUMBER;
      }
      if (t == null) {
        throw stop(op, "'" + op.text() + "' can't join " + a.type.words + " and " + b.type.words);
      }
      a = join(t, a, b, op.is("*") ? (x, y) -> x * y : (x, y) -> x / y);
    }
    return a;
  }

  private Expr unit() {
    Token t = next();
    if (t.is("(")) {
      Expr e = expression();
      expect(")");
      return e;
    }
    if (t.is("-")) {
      if (++depth > DEEPEST) {
        throw stop(t, "this expression is nested too deeply");
      }
      Expr e = unit();
      depth--;
      if (!e.type.numeric() || e.type == Type.PRIORITY) {
        throw stop(t, "'-' needs a number but this is " + e.type.words);
      }
      ToDoubleFunction<Facts> x = e.number;
      return Expr.number(e.type, f -> -x.applyAsDouble(f), e.constant);
    }
    if (t.kind() == Kind.TEXT) {
      String s = t.text();
      return Expr.text(f -> s, true);
    }
    if (t.kind() == Kind.NUMBER) {
      return literal(t);
    }
    if (t.kind() != Kind.NAME) {
      throw stop(t, "expected a value but found " + t);
    }
    if (t.is("if") || t.is("min") || t.is("max")) {
      return function(t);
    }
    Expr v = Expr.variable(t.text());
    if (v == null) {
      throw stop(t, "unknown name '" + t.text() + "'");
    }
    return v;
  }

  private Expr literal(Token t) {
    double v = t.value();
    return switch (t.unit()) {
      case "" -> Expr.number(Type.NUMBER, f -> v, true);
      case "s" -> Expr.number(Type.SECONDS, f -> v, true);
      case "ms" -> Expr.number(Type.SECONDS, f -> v / 1000, true);
      case "min" -> Expr.number(Type.SECONDS, f -> v * 60, true);
      case "GB" -> Expr.number(Type.GIGABYTES, f -> v, true);
      case "cpus" -> Expr.number(Type.CPUS, f -> v, true);
      default -> throw stop(t, "unknown unit '" + t.unit() + "': expected ms, s, min, GB or cpus");
    };
  }

  private Expr function(Token name) {
    expect("(");
    Expr c = null;
    if (name.is("if")) {
      Token t = look();
      c = typed(t, expression(), Type.BOOL, "the condition of if");
      expect(",");
    }
    Expr a = expression();
    expect(",");
    Token t = look();
    Expr b = expression();
    expect(")");
    if (a.type != b.type || !a.type.numeric()) {
      throw stop(
          t,
          name.text()
              + " needs two numbers of one kind, not "
              + a.type.words
              + " and "
              + b.type.words);
    }
    if (c != null) {
      Predicate<Facts> p = c.bool;
      ToDoubleFunction<Facts> x = a.number;
      ToDoubleFunction<Facts> y = b.number;
      return Expr.number(
          a.type,
          f -> p.test(f) ? x.applyAsDouble(f) : y.applyAsDouble(f),
          c.constant && a.constant && b.constant);
    }
    return join(a.type, a, b, name.is("min") ? Math::min : Math::max);
  }
}
