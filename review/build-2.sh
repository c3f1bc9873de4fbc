#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file: bin/review2, which has the stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/rig2
