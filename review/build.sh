#!/bin/sh
# Builds the drivers of the cases, which hold all stand-ins. The build command of deploy/balancer.toml comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	[ ! -d "review/$n" ] || go build -o "review/bin/case$n" "./review/$n"
done
