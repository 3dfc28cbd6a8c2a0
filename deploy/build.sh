#!/bin/sh
# Copies the packages that the edge role needs, third-party and our own, to target/deps.
set -eu
if [ ! target/deps/.lock -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    mkdir -p target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-warn-script-location \
        --require-hashes --target target/deps --requirement deploy/requirements.txt
    touch target/deps/.lock
fi
rm -rf target/deps/pollengate target/deps/pollengate_*  target/deps/pollengated
for package in packages/pollengate/pollengate packages/pollengate-net/pollengate_net \
    packages/pollengated/pollengated platform/pollengate_platform; do
    cp -R "$package" target/deps/
done
python3 -m compileall -q -j 0 target/deps
