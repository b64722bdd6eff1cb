#!/bin/sh
exec "$(dirname "$0")/../common-2/run_case.sh" leaving_forgotten "$(dirname "$0")"
