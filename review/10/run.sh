#!/bin/sh
exec "$(dirname "$0")/../common-2/run_case.sh" slow_readers "$(dirname "$0")"
