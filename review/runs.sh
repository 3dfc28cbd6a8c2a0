#!/bin/sh
# runs.sh CASE COUNT [TROUBLE]: runs a case several times and prints the exit codes.
cd "$(dirname "$0")"
for _ in $(seq "$2"); do
    TROUBLE="${3:-1}" timeout 125 sh "$1/run.sh"
    printf '%s ' $?
done
echo
