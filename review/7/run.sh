#!/bin/bash
# Runs the case. TROUBLE=0 runs it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
exec timeout -k 2 116 java -Xmx400m -XX:+UseSerialGC -cp "$root/target/review-2" QuotaBurst "$root" "$here"
