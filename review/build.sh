#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
