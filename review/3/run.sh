#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: no machine is taken back.
here="$(cd "$(dirname "$0")" && pwd)"
exec java -Xmx1g -cp "$here/../classes" LoneCase "$here"
