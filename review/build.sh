#!/bin/sh
# Builds what the cases start beside the service itself: the stand-ins, which need Python 3.11 and its
# standard library only, and for case 1 the version that `production` in the deploy file names, from
# the repository's history. Without that history case 1 begins with the present version instead.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/pycache python3 -m compileall -q --invalidation-mode checked-hash review || exit 1
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
production=target/review/production
rm -rf "$production"
mkdir -p "$production/target" || exit 1
if git archive --output "$production/source.tar" "$commit" dappledrum deploy run.py; then
    tar -x -f "$production/source.tar" -C "$production" || exit 1
    ln -s "$PWD/target/deps" "$production/target/deps" || exit 1
else
    echo "review: no commit $commit in the history, case 1 begins with the present version" >&2
    rm -rf "$production"
fi
exit 0
