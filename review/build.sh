#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network once the
# build of the deploy file has run.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/standin
