#!/bin/sh
# The stand-ins of the cases are Python 3 programs that use only its standard
# library; there is nothing to build. This checks that they can start.
cd "$(dirname "$0")" || exit 1
for file in common/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$file" || exit 1
done
