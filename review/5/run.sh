#!/usr/bin/env bash
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:. exec python3 -m review.5.case
