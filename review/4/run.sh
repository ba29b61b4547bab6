#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" final review/4
