#!/bin/sh
# Prepares the stand-ins that the cases in review/6 to review/10 start. They are Python programs, the project's own in standin/ too, so that nothing is
# compiled: checks that this machine's Python (3.11 or newer, standard library only) reads all of them.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B - standin/http_peer.py standin/platform_fleet.py standin/platform_store.py standin/platform_upstreams.py review/harness2.py review/[0-9]*/*.py <<'END'
import ast, sys, tomllib  # noqa: E401, F401
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
