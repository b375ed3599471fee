#!/bin/bash
# Exit 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
classes="$root/target/review-2"
if [ ! -f "$classes/CutZone.class" ] || [ ! -f "$root/target/mallowstall.jar" ]; then
  echo "not built: see review/REPORT-2.md"
  exit 2
fi
timeout -k 2 116 java -Xmx256m -XX:+UseSerialGC -cp "$classes" CutZone "$root" "$here" &
run=$!
trap 'kill $run' TERM INT
wait $run
code=$?
[ $code -le 2 ] || code=2
exit $code
