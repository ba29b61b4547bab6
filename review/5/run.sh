#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" checkin review/5
