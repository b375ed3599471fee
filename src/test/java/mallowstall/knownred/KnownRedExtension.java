package mallowstall.knownred;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.util.List;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Ignores the failures of the tests that KNOWN-RED.txt lists for every build, and of no other
 * tests. Prints each of these tests, whether it fails or passes. JUnit's auto-detection registers
 * this extension for all tests.
 */
public final class KnownRedExtension implements InvocationInterceptor {
  private final List<KnownRedEntry> entries;
  private final PrintStream out;

  /** Reads the list. If the list is malformed, every test fails with the one-line message. */
  public KnownRedExtension() throws IOException {
    this(KnownRedList.read(), System.out);
  }

  KnownRedExtension(List<KnownRedEntry> entries, PrintStream out) {
    this.entries = entries;
    this.out = out;
  }

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> method,
      ExtensionContext context)
      throws Throwable {
    run(invocation, method.getExecutable());
  }

  @Override
  public void interceptTestTemplateMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> method,
      ExtensionContext context)
      throws Throwable {
    run(invocation, method.getExecutable());
  }

  /** Runs the test; if a listed test fails, it counts as skipped. */
  void run(Invocation<Void> invocation, Method method) throws Throwable {
    String test = method.getDeclaringClass().getSimpleName() + "#" + method.getName();
    if (!isListed(test)) {
      invocation.proceed();
      return;
    }
    try {
      invocation.proceed();
    } catch (Throwable failure) {
      out.println("known red, fails as listed: " + test);
      throw new TestAbortedException("known red: " + test, failure);
    }
    out.println("known red, but passes: " + test);
  }

  private boolean isListed(String test) {
    for (KnownRedEntry entry : entries) {
      if (entry.runsInEveryBuild() && entry.test().equals(test)) {
        return true;
      }
    }
    return false;
  }
}
