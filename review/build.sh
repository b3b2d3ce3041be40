#!/usr/bin/env bash
# Builds the program that runs the cases, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/lab ./review/lab
