#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" late review/3
