#!/bin/bash
# Builds the stand-ins of cases 4 to 8 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/stand-ins-2/*.java
