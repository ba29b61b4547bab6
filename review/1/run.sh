#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" served review/1
