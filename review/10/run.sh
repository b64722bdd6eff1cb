#!/bin/sh
exec "$(dirname "$0")/../common-2/run_case.sh" stop_with_slow_reader "$(dirname "$0")"
